#!/usr/bin/env bash
# Crash recovery with five daemons. Each round kills one or two of them
# (SIGKILL) at a random time while a change is submitted. At the end every
# accepted change must be in the history exactly once and all daemons must have
# the same revision.
#
# usage: scripts/kill_check.sh [ROUNDS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-3}
RANDOM=${2:-1}
dir=$(mktemp -d)
. scripts/group.sh
trap 'group_end; rm -rf "$dir"' EXIT
group_start "$dir"

retry_until_success tool 1 config submit examples/arreola/budget.yaml
accepted=0
for round in $(seq "$rounds"); do
    first_victim=$((RANDOM % 5 + 1))
    second_victim=$((RANDOM % 5 + 1))
    target=$((first_victim % 5 + 1))
    [ "$target" = "$second_victim" ] && target=$((target % 5 + 1))
    [ "$target" = "$first_victim" ] && target=$((target % 5 + 1))
    sed "s/deadline: 5s/deadline: $((round % 900 + 5))s/" \
        examples/arreola/celaya.yaml >"$work/celaya.yaml"
    (
        sleep "0.0$((RANDOM % 10))"
        kill -KILL "${daemon_pids[$first_victim]}" "${daemon_pids[$second_victim]}" \
            2>/dev/null || true
    ) &
    killer=$!
    retry_until_success tool "$target" --request_id="round-$round" \
        --author="round-$round" --replaces="$accepted" config submit "$work/celaya.yaml"
    if grep -q "accepted" "$work/out"; then accepted=$((accepted + 1)); fi
    wait "$killer"
    wait "${daemon_pids[$first_victim]}" "${daemon_pids[$second_victim]}" 2>/dev/null || true
    daemon_start "$first_victim"
    [ "$second_victim" = "$first_victim" ] || daemon_start "$second_victim"
done

retry_until_success all_at_revision $((accepted + 1))
retry_until_success tool 1 config history
found=$(grep -c "round-" "$work/out" || true)
duplicates=$(awk '{print $4}' "$work/out" | grep "round-" | sort | uniq -d | wc -l)
echo "rounds $rounds, accepted $accepted, in history $found, duplicates $duplicates"
[ "$found" = "$accepted" ] && [ "$duplicates" = 0 ]
