#!/usr/bin/env bash
# Leader failover with five daemons. Each round suspends the leader (SIGSTOP):
# its connections stay open without responses, as in a silent network
# partition. The other daemons must accept a change meanwhile. Once resumed, the
# old leader must apply it; no accepted change may be lost.
#
# usage: scripts/freeze_check.sh [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-2}
base=20000
dir=$(mktemp -d)
. scripts/group.sh
trap 'for p in "${daemon_pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; done; group_end; rm -rf "$dir"' EXIT
group_start "$dir"
retry_until_success tool 1 config submit examples/arreola/budget.yaml

# Prints the number of the leader as seen by host $1.
leader_seen_by() {
    tool "$1" state dump 2>/dev/null |
        sed -n 's/.*"leader": "h\([0-9]\)\..*/\1/p' | head -n 1
}
find_leader() { leader=$(leader_seen_by "$1"); [ -n "$leader" ]; }

for round in $(seq "$rounds"); do
    retry_until_success find_leader 1 || retry_until_success find_leader 2
    suspended=$(leader_seen_by 1 || leader_seen_by 2)
    target=$((suspended % 5 + 1))
    kill -STOP "${daemon_pids[$suspended]}"
    sed "s/deadline: 5s/deadline: $((round + 5))s/" \
        examples/arreola/celaya.yaml >"$work/celaya.yaml"
    retry_until_success tool "$target" --request_id="round-$round" \
        --replaces=$((round - 1)) config submit "$work/celaya.yaml"
    kill -CONT "${daemon_pids[$suspended]}"
    change_is_active() { tool "$suspended" --json config show | grep -q "\"revision\": $((round + 1)),"; }
    retry_until_success change_is_active
done
retry_until_success tool 1 config history
found=$(grep -c celaya "$work/out")
echo "rounds $rounds, changes in history $found"
[ "$found" = "$rounds" ]
