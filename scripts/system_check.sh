#!/usr/bin/env bash
# Five daemons in three zones under load, with faults; the stand-ins' journals
# and the callers' histories are held against the promises:
#   whole answers to their own caller, not-run never ran, a request marked as
#   not repeatable runs at most once, a leaving endpoint gets nothing new after
#   two seconds, a planned stop cuts no request, the configuration never
#   reverts, gang jobs run whole.
#
# usage: scripts/system_check.sh [SECONDS [RATE]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-6}
rate=${2:-200}
dir=$(mktemp -d)
base=18000
. scripts/group.sh
others=()
trap 'for p in "${others[@]}"; do kill "$p" 2>/dev/null || true; done; group_end; rm -rf "$dir"' EXIT
group_start "$dir"
fail() { echo "FAILED: $*"; tail -n 5 "$work"/h*.log; exit 1; }

retry_until_success tool 1 config submit examples/arreola/budget.yaml \
    examples/arreola/leon.yaml examples/arreola/celaya.yaml
control="127.0.1.1:$((base + 2)),127.0.1.2:$((base + 2)),127.0.1.3:$((base + 2))"
"$bin/endpoint_standin" --control="$control" --service=allergy-check \
    --name=allergy --zone=leon 2>"$work/allergy.err" &
others+=($!)
"$bin/endpoint_standin" --control="$control" --service=rota-planning --count=4 \
    --name=stays --zone=leon --journal="$work/stays.journal" \
    2>"$work/stays.err" &
others+=($!)
"$bin/endpoint_standin" --control="$control" --service=rota-planning --count=2 \
    --name=leaves --zone=leon --journal="$work/leaves.journal" \
    2>"$work/leaves.err" &
leaving=$!
others+=("$leaving")
"$bin/worker_standin" --control="127.0.1.1:$((base + 2)),127.0.1.2:$((base + 2))" \
    --count=12 --lease_ms=5000 --journal="$work/workers.journal" \
    2>"$work/workers.err" &
others+=($!)
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
others+=("$load")

# A job, then faults while the load runs.
retry_until_success tool 1 worker list
cat >"$work/job.json" <<'JOB'
{"id": "gang-400ms", "team": "rota-planners", "tasks": 16, "accelerators": 1,
 "within": "rack"}
JOB
retry_until_success tool 1 job submit "$work/job.json"
sleep 0.5
daemon_kill 5
# Three texts are in force; this is the fourth change.
sed 's/deadline: 5s/deadline: 6s/' examples/arreola/celaya.yaml \
    >"$work/celaya.yaml"
retry_until_success tool 3 --replaces=1 --request_id=during-faults \
    config submit "$work/celaya.yaml"
daemon_start 5
kill -TERM "$leaving"
# The planned stop of an entry host: its callers' connections end between
# requests, so its share of the load is refused or finds no listener.
sleep 1
kill -TERM "${daemon_pids[2]}"
wait "${daemon_pids[2]}" || fail "the planned stop of h2 ended with $?"
grep -q "Nothing is in flight" "$work/h2.log" || fail "h2 cut requests"
daemon_start 2
wait "$load" || true
wait "$leaving" || true
"$bin/dandelioncrank" --control="127.0.1.1:$((base + 2))" job wait gang-400ms \
    >"$work/job.out" || fail "the gang job: $(cat "$work/job.out")"

cat "$work/load.out"
cat "$work"/*.journal | grep '^run ' >"$work/runs" || true
# 1. Nothing crossed, nothing without a fate.
grep -q ' crossed ' "$work/callers" && fail "an answer went to another caller"
grep -q ' cut ' "$work/callers" && fail "a request was cut"
grep -q ' no-fate ' "$work/callers" && fail "an answer had no fate"
# 2. not-run never ran.
awk '$2 == "not-run" {print $1}' "$work/callers" | sort >"$work/not-run"
awk '{print $2}' "$work/runs" | sort >"$work/ran"
[ -z "$(comm -12 "$work/not-run" <(uniq "$work/ran"))" ] || fail "not-run ran"
# 3. Once-only requests ran at most once.
awk '$3 == "once" {print $1}' "$work/callers" | sort >"$work/once"
[ -z "$(comm -12 "$work/once" <(uniq -d "$work/ran"))" ] || fail "ran twice"
# 4. completed ran.
awk '$2 == "completed" {print $1}' "$work/callers" | sort >"$work/completed"
[ -z "$(comm -23 "$work/completed" <(uniq "$work/ran"))" ] || fail "completed did not run"
completed=$(wc -l <"$work/completed")
[ "$completed" -gt 0 ] || fail "nothing completed"
# 5. No endpoint over its slots.
most=$(awk '$4 > m {m = $4} END {print m + 0}' "$work/runs")
[ "$most" -le 8 ] || fail "$most requests at once on one endpoint"
# 6. The gang ran whole, once.
started=$(awk '$2 == "gang-400ms" {n += $5} END {print n + 0}' "$work/workers.journal")
[ "$started" = 16 ] || fail "$started of 16 tasks started"
# 7. The change made during the faults is in force everywhere.
retry_until_success all_at_revision 4
# 8. Endpoints that leave got nothing new after two seconds.
grep -q '^late ' "$work"/*.journal && fail "a leaving endpoint got new work"
echo "completed $completed, not-run $(wc -l <"$work/not-run"), most in flight $most: all promises held"
