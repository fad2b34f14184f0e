#!/usr/bin/env bash
# A route is removed and added again under the same host and prefix. A job that
# was accepted before is answered 410, and its cancelling does not stop it.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../second/lib.sh"
start_group
configure 1 "$(route r-one /lohu930/ huvo11a 1),$(route r-two /pule252/ huvo11a 1)" "$(service huvo11a)"
for i in 1 2 3 4; do start_minion "m-$i" "$i" huvo11a; done
wait_for 20 entries_ready || cannot_run "the entry hosts are not ready"
wait_for 20 minions_known 4 || cannot_run "the minions are not known"
echo '{"Spec":"ms=30000 gpu=1 cpu=1000","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimatedMs":30000},{"Count":1,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimatedMs":500}]}' >"$work/job"
id=5c0e7a21d94b36f8
[ "$(submit /lohu930/$id "$work/job")" = 200 ] || cannot_run "the job was not accepted"
wait_for 10 has_line "START $id.0.0.0 " || cannot_run "the job did not begin"
if [ "$TROUBLE" != 0 ]; then
    configure 2 "$(route r-two /pule252/ huvo11a 1)" "$(service huvo11a)"
    sleep 2.5
    configure 3 "$(route r-new /lohu930/ huvo11a 1),$(route r-two /pule252/ huvo11a 1)" "$(service huvo11a)"
fi
sleep 4
state=$(state_of /lohu930/$id)
cancel=$(requester DELETE /lohu930/$id)
sleep 6
running=$(no_line "END $id.0.0.0 " && echo yes || echo no)
note "state before the cancelling: $state; answer to DELETE: $cancel; its work item still runs 6 s later: $running"
[[ $state =~ ^(running|410)$ ]] || cannot_run "a GET is answered $state"
[[ $cancel =~ ^(2..|410)$ ]] || cannot_run "a DELETE is answered $cancel"
[ "$state" = 410 ] && broken "a GET of the accepted job is answered 410; DELETE is answered $cancel, and 6 s later it still runs: $running"
[ "$running" = yes ] && broken "the cancelling was acknowledged with $cancel, and 6 s later it still runs"
held "the job was $state and has been cancelled"
