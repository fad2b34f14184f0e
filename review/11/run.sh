#!/usr/bin/env bash
# A minion is unhealthy for 6.9 s: it answers every call with 503, has done
# nothing for it, and still sends pings.
. "$(dirname "$0")/../third/test/cluster.sh"

JOB=/lohu930/5c0e7a21d94b36f8
LENGTH_MS=6900
start_cluster
configure
# Only the minion that the job is on becomes unhealthy, 12 s after its start and
# right after it has answered a hold call.
if [ "$TROUBLE" = 0 ]; then
    start_minions 8 work_ms=45000
else
    start_minions 8 work_ms=45000 unhealthy_after_ms=12000 \
        "unhealthy_for_ms=$LENGTH_MS"
fi
request 1 POST $JOB '{"Spec":"x","Steps":[{"Count":1,"Cpu":4000,"MemMb":1000,"Gpu":1,"EstimatedMs":45000}]}'
[ "${REPLY%% *}" = 200 ] || give_up "the job was not accepted"
accepted=$(date +%s%3N)
# Nothing is asked meanwhile, so that the POST is the end of the traffic.
sleep 27
# The longest time with nothing running, from finish_s (14 s) after the last
# request of the traffic on, while seven minions are idle.
gap=$(awk -v from=$((accepted + 14000)) -v to="$(date +%s%3N)" '
    function count(a, b) {
        if (a < from) a = from
        if (b - a > longest) longest = b - a
    }
    /run started:/ { if (!running && idle) count(idle, $1); running = 1 }
    /run ended:/ { running = 0; idle = $1 }
    END { if (!running && idle) count(idle, to); print longest + 0 }' \
    "$WORK/events")
say "longest time with nothing running, from 14 s after the traffic on: $gap ms"
request 2 GET $JOB
if [ "$TROUBLE" != 0 ]; then
    grep -q 'is unhealthy' "$WORK/events" || give_up "there was no trouble"
fi
if [ "$gap" -gt 3000 ]; then
    verdict BROKEN "the job had nothing running for more than 3 s while seven of eight minions were idle"
fi
verdict HELD "the job had no such time"
