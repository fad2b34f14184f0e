#!/usr/bin/env bash
# Five daemons in three availability zones under load, with faults. Checks the
# journals of the simulated endpoints and workers and the history of the caller:
#   - responses are complete and reach their own caller
#   - requests reported as not-run were never executed
#   - requests that are not repeatable run at most once
#   - a leaving endpoint gets no new requests after two seconds
#   - a graceful stop interrupts no request
#   - the configuration never reverts
#   - all tasks of a gang job run
#
# usage: scripts/system_check.sh [SECONDS [RATE]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-6}
rate=${2:-200}
dir=$(mktemp -d)
base=18000
. scripts/group.sh
helper_pids=()
trap 'for p in "${helper_pids[@]}"; do kill "$p" 2>/dev/null || true; done; group_end; rm -rf "$dir"' EXIT
group_start "$dir"
fail() { echo "FAILED: $*"; tail -n 5 "$work"/h*.log; exit 1; }

retry_until_success tool 1 config submit examples/arreola/budget.yaml \
    examples/arreola/leon.yaml examples/arreola/celaya.yaml
control="127.0.1.1:$((base + 2)),127.0.1.2:$((base + 2)),127.0.1.3:$((base + 2))"
"$bin/endpoint_standin" --control="$control" --service=allergy-check \
    --name=allergy --zone=leon 2>"$work/allergy.err" &
helper_pids+=($!)
"$bin/endpoint_standin" --control="$control" --service=rota-planning --count=4 \
    --name=stays --zone=leon --journal="$work/stays.journal" \
    2>"$work/stays.err" &
helper_pids+=($!)
"$bin/endpoint_standin" --control="$control" --service=rota-planning --count=2 \
    --name=leaves --zone=leon --journal="$work/leaves.journal" \
    2>"$work/leaves.err" &
leaving=$!
helper_pids+=("$leaving")
"$bin/worker_standin" --control="127.0.1.1:$((base + 2)),127.0.1.2:$((base + 2))" \
    --count=12 --lease_ms=5000 --journal="$work/workers.journal" \
    2>"$work/workers.err" &
helper_pids+=($!)
served() {
    for i in 1 2; do
        curl -s --fail -o /dev/null "http://127.0.1.$i:$((base + 1))/services/rota-planning/check" || return 1
    done
}
retry_until_success served

"$bin/caller_load" --rate="$rate" --seconds="$seconds" --seed=1 \
    --once_percent=30 --work_ms=10 --history="$work/callers" \
    --gateways="127.0.1.1:$((base + 1)),127.0.1.2:$((base + 1))" \
    >"$work/load.out" &
load=$!
helper_pids+=("$load")

# Submits a job, then injects faults under load.
retry_until_success tool 1 worker list
cat >"$work/job.json" <<'JOB'
{"id": "gang-400ms", "team": "rota-planners", "tasks": 16, "accelerators": 1,
 "within": "rack"}
JOB
retry_until_success tool 1 job submit "$work/job.json"
sleep 0.5
daemon_kill 5
# The fourth change, after the three initial texts.
sed 's/deadline: 5s/deadline: 6s/' examples/arreola/celaya.yaml \
    >"$work/celaya.yaml"
retry_until_success tool 3 --replaces=1 --request_id=during-faults \
    config submit "$work/celaya.yaml"
daemon_start 5
kill -TERM "$leaving"
# Graceful stop of an entry host: the connections of its callers are closed
# between requests, so its share of the load is refused or cannot connect.
sleep 1
kill -TERM "${daemon_pids[2]}"
wait "${daemon_pids[2]}" || fail "graceful stop of h2 exited with status $?"
grep -q "Nothing is in flight" "$work/h2.log" || fail "h2 interrupted requests in flight"
daemon_start 2
wait "$load" || true
wait "$leaving" || true
"$bin/dandelioncrank" --control="127.0.1.1:$((base + 2))" job wait gang-400ms \
    >"$work/job.out" || fail "gang job failed: $(cat "$work/job.out")"

cat "$work/load.out"
cat "$work"/*.journal | grep '^run ' >"$work/runs" || true
# 1. Every response has an outcome and belongs to its request.
grep -q ' crossed ' "$work/callers" && fail "a response reached another caller"
grep -q ' cut ' "$work/callers" && fail "a request got no response"
grep -q ' no-fate ' "$work/callers" && fail "a response had no X-Fate header"
# 2. Requests reported as not-run were not executed.
awk '$2 == "not-run" {print $1}' "$work/callers" | sort >"$work/not-run"
awk '{print $2}' "$work/runs" | sort >"$work/ran"
[ -z "$(comm -12 "$work/not-run" <(uniq "$work/ran"))" ] || fail "a not-run request was executed"
# 3. Requests that are not repeatable ran at most once.
awk '$3 == "once" {print $1}' "$work/callers" | sort >"$work/once"
[ -z "$(comm -12 "$work/once" <(uniq -d "$work/ran"))" ] || fail "a request that is not repeatable ran twice"
# 4. Completed requests were executed.
awk '$2 == "completed" {print $1}' "$work/callers" | sort >"$work/completed"
[ -z "$(comm -23 "$work/completed" <(uniq "$work/ran"))" ] || fail "a completed request was not executed"
completed=$(wc -l <"$work/completed")
[ "$completed" -gt 0 ] || fail "no request completed"
# 5. No endpoint exceeded its slots.
max_in_flight=$(awk '$4 > m {m = $4} END {print m + 0}' "$work/runs")
[ "$max_in_flight" -le 8 ] || fail "$max_in_flight concurrent requests on one endpoint"
# 6. All tasks of the gang ran exactly once.
started=$(awk '$2 == "gang-400ms" {n += $5} END {print n + 0}' "$work/workers.journal")
[ "$started" = 16 ] || fail "$started of 16 tasks started"
# 7. The change made during the faults is active on all daemons.
retry_until_success all_at_revision 4
# 8. Leaving endpoints got no new requests after two seconds.
grep -q '^late ' "$work"/*.journal && fail "a leaving endpoint got a new request"
echo "completed $completed, not-run $(wc -l <"$work/not-run"), maximum in flight $max_in_flight: all checks passed"
