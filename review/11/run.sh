#!/usr/bin/env bash
# Three minions crash under a long-running job, one after the other.
. "$(dirname "$0")/../third/test/cluster.sh"

JOB=/lohu930/5c0e7a21d94b36f8
start_cluster
configure
start_minions 8
request 1 POST $JOB '{"Spec":"x","Steps":[{"Count":1,"Cpu":4000,"MemMb":1000,"Gpu":1,"EstimatedMs":60000,"LongRunning":true}]}'
[ "${REPLY%% *}" = 200 ] || give_up "the job was not accepted"
for n in 1 2 3; do
    minion=""
    for _ in $(seq 150); do
        minion=$(running_on)
        [ -n "$minion" ] && break
        sleep 0.1
    done
    [ -n "$minion" ] || break
    sleep 5
    request 2 GET $JOB
    [ "$TROUBLE" = 0 ] && continue
    kill -KILL "${PIDS[minion-$minion]}"
    wait "${PIDS[minion-$minion]}" 2> /dev/null
    say "minion i-$minion crashes (SIGKILL)"
    sleep 4
    start_minion "$minion"
    say "minion i-$minion starts again"
done
# All minions are up from here on, and nothing else is wrong.
for n in $(seq 15); do
    sleep 1
    request 2 GET $JOB
done
failed_ends=$(grep -c 'run ended: .* failed' "$WORK/events")
case "$REPLY" in
    '200 {"State":"running"}') verdict HELD "the job is running" ;;
    '200 {"State":"failed"}') verdict BROKEN "the job is shown as failed;" \
        "work items that have ended 'failed': $failed_ends of MaxAttempts 4;" \
        "running now on: $(running_on | sed 's/^$/none/;s/^/i-/')" ;;
    *) verdict BROKEN "the job is neither running nor failed: $REPLY" ;;
esac
