#!/usr/bin/env bash
# The main job on loopback: one daemon with the Arreola texts, stand-in
# endpoints and workers, one request answered, one gang job run, the state
# shown. Ends what it started, and nothing else.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
bin="$top/build/release/bin"
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT

# Retries a command until it succeeds; fails after a bounded number.
retry_until_success() {
    for _ in $(seq 150); do
        if "$@" >"$work/out" 2>&1; then return 0; fi
        sleep 0.1
    done
    cat "$work/out"
    return 1
}

echo "== One daemon with all roles"
"$bin/dandelioncrankd" --host=h1 --zone=leon --roles=gateway,scheduler,voter \
    --data_dir="$work/data" --bootstrap 2>"$work/daemon.log" &
pids+=($!)
retry_until_success "$bin/dandelioncrank" config rollout

echo "== The councils' texts"
cd "$top"
"$bin/dandelioncrank" config submit examples/arreola/budget.yaml \
    examples/arreola/leon.yaml examples/arreola/celaya.yaml

echo "== Stand-in endpoints and workers"
"$bin/endpoint_standin" --service=allergy-check --name=allergy \
    2>"$work/allergy.log" &
pids+=($!)
"$bin/endpoint_standin" --service=rota-planning --name=rota --count=3 \
    2>"$work/rota.log" &
pids+=($!)
"$bin/worker_standin" --count=12 2>"$work/workers.log" &
pids+=($!)

request() {
    curl -sS -i --fail -X POST -H 'X-Request-Id: demo-1' \
        -H 'Idempotency-Key: rota-week-7' -d 'week 7' \
        http://127.0.0.1:7001/services/rota-planning/plan
}
retry_until_success request
echo "== A caller's request, and the same one sent again"
request; echo
request; echo

echo "== A gang job of 16 adjacent accelerators"
cat >"$work/job.json" <<'JOB'
{"id": "nightly-rota-500ms", "team": "rota-planners", "tasks": 16,
 "accelerators": 1, "within": "rack", "declared_ms": 60000}
JOB
retry_until_success "$bin/dandelioncrank" team show
retry_until_success "$bin/dandelioncrank" worker list
retry_until_success "$bin/dandelioncrank" job submit "$work/job.json"
"$bin/dandelioncrank" job wait nightly-rota-500ms

echo "== The state"
"$bin/dandelioncrank" team show
"$bin/dandelioncrank" worker list
"$bin/dandelioncrank" endpoint list
"$bin/dandelioncrank" config rollout
"$bin/dandelioncrank" state dump >"$work/state.json"
echo "state dump: $(wc -c <"$work/state.json") bytes of JSON"

echo "== The planned stop"
kill -TERM "${pids[0]}"
wait "${pids[0]}"
echo "daemon ended with status $?"
