#!/usr/bin/env bash
# A requester's Spec begins with U+FEFF, as texts of some editors do.
. "$(dirname "$0")/../third/test/cluster.sh"

JOB=/lohu930/5c0e7a21d94b36f8
start_cluster
configure
start_minions 4 work_ms=500
if [ "$TROUBLE" = 0 ]; then
    spec='rota\ufeff 17'
    expected=726f7461efbbbf203137
else
    spec='\ufeffrota 17'
    expected=efbbbf726f7461203137
fi
request 1 POST $JOB '{"Spec":"'"$spec"'","Steps":[{"Count":1,"Cpu":4000,"MemMb":1000,"Gpu":1,"EstimatedMs":500}]}'
[ "${REPLY%% *}" = 200 ] || give_up "the job was not accepted"
sleep 4
request 2 GET $JOB
seen=$(awk '/its Spec in hexadecimal:/ { print $7; exit }' "$WORK/events")
say "Spec sent, in hexadecimal: $expected; Spec that the minion was told: $seen"
[ -n "$seen" ] || give_up "nothing was started"
if [ "$seen" != "$expected" ]; then
    verdict BROKEN "a minion was told to start the work item with another Spec"
fi
verdict HELD "the minion was told the Spec that was sent"
