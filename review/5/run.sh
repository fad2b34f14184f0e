#!/usr/bin/env bash
# One minion of fourteen crashes three times in 8 s and is back 0.6 s later each
# time. A job whose work item lasts needs a label that only this one has.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"
prepare
start_system
configure 1
for i in $(seq 1 13); do minion i-$i $i a,r1-$(((i - 1) / 6 + 1)); done
minion i-14 14 b,r1-3
wait_for 20 is_ready || cannot_run "the system is not ready"
sleep 2

lasting=$(job_id)
task=$lasting.0.0.0
submit /plan/$lasting '{"Spec":"lasts cpu=2000 gpu=1","Steps":[{"Count":1,"Cpu":2000,"MemMb":1024,"Gpu":1,"EstimatedMs":60000,"RequiredLabel":"b","LongRunning":true}]}'
has_begun() { [ "$(starts $task)" -gt 0 ]; }
wait_for 10 has_begun || cannot_run "the job does not begin"
sleep 4

if [ "$TROUBLE" != 0 ]; then
    for n in 1 2 3; do
        crash i-14
        sleep 0.6
        minion i-14 14 b,r1-3
        [ $n = 3 ] || sleep 3.4
    done
fi
back_at=$(now_ms)
say "the minion stays up from now on"
sleep 16
answer=$(state /plan/$lasting)
case $answer in *running* | *queued*) ;; *) cannot_run "the job: $answer" ;; esac

# Calm are the 4 s before the 3 s in question, and the last run ended 6 s before:
# the time counts from 6 s after the minion was back.
from=$((back_at + 6000))
last=$(awk -v t=$task '$5 == t && ($4 == "start" || $4 == "end")' "$record" | tail -1)
began=$(awk -v t=$task '$5 == t && $4 == "start" { at = $1 } END { printf "%.0f", at + 0 }' "$record")
say "last: $last"
[ "$TROUBLE" != 0 ] || from=$began
idle=$((began - from))
[ "$began" -gt $back_at ] || [ "$TROUBLE" = 0 ] || idle=10000
say "nothing of the job running for $idle ms after 6 s of calm, with the minion up and empty"
if [ $idle -ge 3000 ]; then
    say "LOST broken: the work item that lasts isn't started again"
    exit 1
fi
say "held"
