#!/usr/bin/env bash
# A requester hands in 20 recurring jobs, one each 2.42 s, which is the usual rate
# of lista-compras. Each has three steps of 94 work items and 1,000 occurrences,
# the first of which is due in an hour. The stand-in for the platform ends a core
# process that uses more than the 256 MB of its machine, and starts it again
# after a second.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"
prepare
start_system
configure 1
for i in $(seq 1 8); do minion i-$i $i a,r1-$(((i - 1) / 6 + 1)); done
wait_for 20 is_ready || cannot_run "the system is not ready"
sleep 2

limit_kb=$((256 * 1024))
declare -A ends=([1]=0 [2]=0 [3]=0 [4]=0) down_until=() most=([1]=0 [2]=0 [3]=0 [4]=0)
platform() {
    local i kb
    for i in 1 2 3 4; do
        if [ -n "${down_until[$i]:-}" ]; then
            [ "$(now_ms)" -ge "${down_until[$i]}" ] || continue
            unset "down_until[$i]"
            daemon core-$i
            continue
        fi
        kb=$(awk '/^VmRSS/{print $2}' "/proc/${pids[core-$i]}/status" 2>/dev/null)
        [ "${kb:-0}" -le "${most[$i]}" ] || most[$i]=$kb
        if [ -z "$kb" ]; then
            say "platform: core-$i has ended by itself"
        elif [ "$kb" -gt $limit_kb ]; then
            say "platform: core-$i uses $kb kB of $limit_kb kB and is killed"
            kill -KILL "${pids[core-$i]}"
        else
            continue
        fi
        ends[$i]=$((ends[$i] + 1))
        down_until[$i]=$(($(now_ms) + 1000))
    done
}
platform_for() {
    local until=$(($(now_ms) + $1))
    while [ "$(now_ms)" -lt $until ]; do
        platform
        sleep 0.05
    done
}

asked=$(job_id)
submit /urgent/$asked '{"Spec":"work=20 cpu=500","Steps":[{"Count":1,"Cpu":500,"MemMb":64,"EstimatedMs":20}]}'
times=1000
[ "$TROUBLE" != 0 ] || times=6
first=$(($(now_ms) + 3600000))
step='"Count":94,"Cpu":100,"MemMb":100,"EstimatedMs":100'
for n in $(seq 1 20); do
    sent_at=$(now_ms)
    id=$(job_id)
    answer=$(call POST /batch/$id '{"Spec":"work=100 cpu=100","Steps":[{'$step'},{'$step',"After":[0]},{'$step',"After":[1]}],"RepeatCount":'$times',"StartAtMs":'$first',"IntervalMs":60000}')
    say "requester POST /batch/$id (3 steps of 94 work items, $times times) -> $answer"
    case $answer in 2*) ;; *) break ;; esac
    platform_for $((sent_at + 2420 - $(now_ms)))
done
# finish_s is 14 s, RecoveryS 12 s.
platform_for 20000
job=$(state /urgent/$asked)
platform_for 2000
say "ends by core machine: ${ends[*]}; most memory in kB: ${most[*]}"
often=0
for i in 1 2 3 4; do [ ${ends[$i]} -lt 3 ] || often=$((often + 1)); done
if [ $often -ge 2 ]; then
    say "Fault: on $often of 4 core machines the processes ended three times or more; the accepted job is answered '$job'"
    exit 1
fi
case $job in *completed*) say "held" && exit 0 ;; esac
cannot_run "the accepted job is answered '$job'"
