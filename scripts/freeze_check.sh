#!/usr/bin/env bash
# Five daemons; in each round the leader is frozen (STOP): its connections stay
# open and nothing answers, as in a silent cut. The others must accept a change
# meanwhile; thawed, the old leader must take it over and nothing may be lost.
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

# Number of the host that leads, as host $1 sees it.
leader_seen_by() {
    tool "$1" state dump 2>/dev/null |
        sed -n 's/.*"leader": "h\([0-9]\)\..*/\1/p' | head -n 1
}
find_leader() { leader=$(leader_seen_by "$1"); [ -n "$leader" ]; }

for round in $(seq "$rounds"); do
    retry_until_success find_leader 1 || retry_until_success find_leader 2
    frozen=$(leader_seen_by 1 || leader_seen_by 2)
    asked=$((frozen % 5 + 1))
    kill -STOP "${daemon_pids[$frozen]}"
    sed "s/deadline: 5s/deadline: $((round + 5))s/" \
        examples/arreola/celaya.yaml >"$work/celaya.yaml"
    retry_until_success tool "$asked" --request_id="round-$round" \
        --replaces=$((round - 1)) config submit "$work/celaya.yaml"
    kill -CONT "${daemon_pids[$frozen]}"
    in_force() { tool "$frozen" --json config show | grep -q "\"revision\": $((round + 1)),"; }
    retry_until_success in_force
done
retry_until_success tool 1 config history
kept=$(grep -c celaya "$work/out")
echo "rounds $rounds, kept $kept"
[ "$kept" = "$rounds" ]
