#!/usr/bin/env bash
# Submits a text to a host that has just started. A peer of its availability
# zone does not run, so the host serves only after it has waited for that peer;
# until then it answers that it does not return its configuration.
#
# usage: scripts/starting_host_check.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${bin:-build/release/bin}
base=${base:-17300}
work=$(mktemp -d)
pid=

finish() {
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

tool() {
    "$bin/dandelioncrank" --control="127.0.0.1:$((base + 2))" "$@"
}

host=127.0.0.1:$((base + 3))/127.0.0.1:$((base + 2))
peer=127.0.0.1:$((base + 5))/127.0.0.1:$((base + 6))
"$bin/dandelioncrankd" --host=h1 --zone=leon --roles=gateway,scheduler,voter \
    --hosts="h1/leon/$host/voter,h2/leon/$peer" --bootstrap \
    --caller_address="127.0.0.1:$((base + 1))" \
    --control_address="127.0.0.1:$((base + 2))" \
    --peer_address="127.0.0.1:$((base + 3))" \
    --operator_address="127.0.0.1:$((base + 4))" \
    --data_dir="$work/data" 2>"$work/daemon.log" &
pid=$!
for _ in $(seq 150); do
    if tool config rollout >"$work/rollout" 2>&1; then break; fi
    sleep 0.1
done

echo "== The host answers and does not serve yet"
cat "$work/rollout"
grep -Eq '^h1 +leon +0 +no ' "$work/rollout"
if tool config show; then
    echo "the host serves already"
    exit 1
fi

echo "== A submit waits for it"
tool config submit examples/arreola/budget.yaml | tee "$work/out"
grep -q "accepted, version 1" "$work/out"

echo "== Without a daemon, a submit ends with the cause"
kill -KILL "$pid"
wait "$pid" 2>/dev/null || true
code=0
tool config submit examples/arreola/budget.yaml 2>"$work/error" || code=$?
cat "$work/error"
[ "$code" = 1 ]
grep -q "no response from the daemon" "$work/error"
