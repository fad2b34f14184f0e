#!/usr/bin/env bash
# Latency and CPU time that the daemon adds to a request, relative to calling
# the simulated endpoint directly, at 1, 64 and 1,000 connections. One JSON
# line per case.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release/bin
work=$(mktemp -d)
pids=()
trap 'for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"' EXIT

"$bin/dandelioncrankd" --host=h1 --zone=leon --roles=gateway,scheduler,voter \
    --data_dir="$work/data" --bootstrap --log_level=error \
    --caller_address=127.0.2.1:7001 --control_address=127.0.2.1:7002 \
    --peer_address=127.0.2.1:7003 --operator_address=127.0.2.1:7004 \
    2>"$work/daemon.log" &
daemon=$!
pids+=("$daemon")
tool() { "$bin/dandelioncrank" --control=127.0.2.1:7002 "$@"; }
for _ in $(seq 100); do tool config rollout >/dev/null 2>&1 && break; sleep 0.1; done
printf 'budget: b\nzones:\n  - {name: leon, region: r, racks: 1, workers_per_rack: 1, accelerators: 1}\nteams:\n  - name: t\n' >"$work/b.yaml"
printf 'town: leon\nservices:\n  - {name: s, team: t, repeatable: yes, queue_time: 10s, deadline: 20s}\n' >"$work/t.yaml"
for _ in $(seq 50); do tool config submit "$work/b.yaml" "$work/t.yaml" >/dev/null 2>&1 && break; sleep 0.1; done
"$bin/endpoint_standin" --control=127.0.2.1:7002 --service=s --zone=leon \
    --count=1 --slots=1000 --work_ms=0 2>"$work/e.log" &
endpoint=$!
pids+=("$endpoint")
for _ in $(seq 100); do
    address=$(tool --json endpoint list | sed -n 's/.*"address": "\(.*\)",/\1/p')
    [ -n "$address" ] && curl -s --fail -o /dev/null http://127.0.2.1:7001/services/s/x && break
    sleep 0.1
done

cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
field() { sed "s/.*\"$1\":\([0-9.e+-]*\).*/\1/" <<<"$2"; }
for connections in 1 64 1000; do
    requests=$((connections == 1 ? 3000 : 20000))
    direct=$("$bin/closed_loop" --address="$address" --target=/x \
        --connections=$connections --requests=$requests)
    before=$(cpu_ms "$daemon")
    through=$("$bin/closed_loop" --address=127.0.2.1:7001 \
        --target=/services/s/x --connections=$connections --requests=$requests)
    after=$(cpu_ms "$daemon")
    awk -v c=$connections -v n=$requests -v cpu=$((after - before)) \
        -v d50="$(field p50_ms "$direct")" -v d99="$(field p99_ms "$direct")" \
        -v t50="$(field p50_ms "$through")" -v t99="$(field p99_ms "$through")" \
        -v failed="$(field failed "$through")" 'BEGIN {
        printf "{\"bench\":\"gateway\",\"connections\":%d,\"direct_p50_ms\":%.3f,\"through_p50_ms\":%.3f,\"added_p50_ms\":%.3f,\"direct_p99_ms\":%.3f,\"through_p99_ms\":%.3f,\"ratio_p50\":%.2f,\"daemon_cpu_us_per_request\":%.1f,\"failed\":%d}\n",
            c, d50, t50, t50 - d50, d99, t99, t50 / d50, cpu * 1000 / n, failed }'
done
