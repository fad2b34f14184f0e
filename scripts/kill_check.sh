#!/usr/bin/env bash
# Five daemons with data folders; in each round one or two are killed (KILL)
# at a random moment while changes are submitted. At the end every accepted
# change is in the history, once, and all daemons have the same revision.
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
    victim=$((RANDOM % 5 + 1))
    other=$((RANDOM % 5 + 1))
    asked=$((victim % 5 + 1))
    [ "$asked" = "$other" ] && asked=$((asked % 5 + 1))
    [ "$asked" = "$victim" ] && asked=$((asked % 5 + 1))
    sed "s/deadline: 5s/deadline: $((round % 900 + 5))s/" \
        examples/arreola/celaya.yaml >"$work/celaya.yaml"
    (
        sleep "0.0$((RANDOM % 10))"
        kill -KILL "${daemon_pids[$victim]}" "${daemon_pids[$other]}" \
            2>/dev/null || true
    ) &
    killer=$!
    retry_until_success tool "$asked" --request_id="round-$round" \
        --author="round-$round" --replaces="$accepted" config submit "$work/celaya.yaml"
    if grep -q "accepted" "$work/out"; then accepted=$((accepted + 1)); fi
    wait "$killer"
    wait "${daemon_pids[$victim]}" "${daemon_pids[$other]}" 2>/dev/null || true
    daemon_start "$victim"
    [ "$other" = "$victim" ] || daemon_start "$other"
done

retry_until_success all_at_revision $((accepted + 1))
retry_until_success tool 1 config history
kept=$(grep -c "round-" "$work/out" || true)
twice=$(awk '{print $4}' "$work/out" | grep "round-" | sort | uniq -d | wc -l)
echo "rounds $rounds, accepted $accepted, kept $kept, kept twice $twice"
[ "$kept" = "$accepted" ] && [ "$twice" = 0 ]
