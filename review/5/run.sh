#!/usr/bin/env bash
# Two minions of fourteen fall silent for good. Half a second later four jobs
# come that need a label only these two have. No work item of them ever begins.
# The requester asks for the number of waiting jobs of the queue.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"
prepare
start_system
configure 1
for i in $(seq 1 12); do minion i-$i $i a,r1-$(((i - 1) / 6 + 1)); done
minion i-13 13 b,r1-3
minion i-14 14 b,r1-3
wait_for 20 is_ready || cannot_run "the system is not ready"
sleep 3

if [ "$TROUBLE" != 0 ]; then
    kill -STOP "${pids[i-13]}" "${pids[i-14]}"
    say "minions i-13 and i-14 are dark from now on"
fi
sleep 0.5
jobs=()
for n in 1 2 3 4; do
    job=$(job_id)
    jobs+=("$job")
    submit /plan/$job '{"Spec":"work=60000 cpu=2000 gpu=1","Steps":[{"Count":1,"Cpu":2000,"MemMb":1024,"Gpu":1,"EstimatedMs":60000,"RequiredLabel":"b"}]}'
done
# visible_ms is 3 s, and 2 s more.
sleep 6
for n in $(seq 1 10); do
    answer=$(call GET /plan/)
    say "requester GET /plan/ -> $answer"
    sleep 1
done
for job in "${jobs[@]}"; do state /plan/$job >/dev/null; done
waiting=0
for job in "${jobs[@]}"; do
    [ "$(starts $job.0.0.0)" -gt 0 ] || waiting=$((waiting + 1))
done
pending=$(echo "$answer" | sed -nE 's/^200 \{"Pending":([0-9]+)\}.*/\1/p')
[ -n "$pending" ] || cannot_run "the queue is answered '$answer'"
say "$waiting jobs have not begun, Pending is $pending"
if [ $((pending * 2)) -lt $waiting ]; then
    say "MIXED broken: Pending is under half of the jobs that have not begun"
    exit 1
fi
say "held"
