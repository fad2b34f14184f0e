#!/usr/bin/env bash
# Demonstration on loopback: one daemon with the Arreola configuration,
# simulated endpoints and workers, one request, one gang job and the resulting
# state. Stops only the processes that it started.
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

# Retries a command until it succeeds; fails after 150 attempts.
retry_until_success() {
    for _ in $(seq 150); do
        if "$@" >"$work/out" 2>&1; then return 0; fi
        sleep 0.1
    done
    cat "$work/out"
    return 1
}

echo "== Starting one daemon with all roles"
"$bin/dandelioncrankd" --host=h1 --zone=leon --roles=gateway,scheduler,voter \
    --data_dir="$work/data" --bootstrap 2>"$work/daemon.log" &
pids+=($!)
retry_until_success "$bin/dandelioncrank" config rollout

echo "== Submitting the configuration texts"
cd "$top"
"$bin/dandelioncrank" config submit examples/arreola/budget.yaml \
    examples/arreola/leon.yaml examples/arreola/celaya.yaml

echo "== Starting simulated endpoints and workers"
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
echo "== Sending a request, then the same request again"
request; echo
request; echo

echo "== Running a gang job on 16 adjacent accelerators"
cat >"$work/job.json" <<'JOB'
{"id": "nightly-rota-500ms", "team": "rota-planners", "tasks": 16,
 "accelerators": 1, "within": "rack", "declared_ms": 60000}
JOB
retry_until_success "$bin/dandelioncrank" team show
retry_until_success "$bin/dandelioncrank" worker list
retry_until_success "$bin/dandelioncrank" job submit "$work/job.json"
"$bin/dandelioncrank" job wait nightly-rota-500ms

echo "== Showing the state"
"$bin/dandelioncrank" team show
"$bin/dandelioncrank" worker list
"$bin/dandelioncrank" endpoint list
"$bin/dandelioncrank" config rollout
"$bin/dandelioncrank" state dump >"$work/state.json"
echo "state dump: $(wc -c <"$work/state.json") bytes of JSON"

echo "== Stopping the daemon"
kill -TERM "${pids[0]}"
wait "${pids[0]}"
echo "daemon exited with status $?"
