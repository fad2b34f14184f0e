#!/usr/bin/env bash
# Configuration rollout time on seven daemons (five voters) on loopback, from
# the daemons' logs: from the start of the submit to activation on the last
# daemon, and from activation on the first daemon to the last. One JSON line.
#
# usage: bench/rollout.sh [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/.."
changes=${1:-50}
group_size=7
base=19000
dir=$(mktemp -d)
. scripts/group.sh
trap 'group_end; rm -rf "$dir"' EXIT
group_start "$dir"
retry_until_success tool 1 config submit examples/arreola/budget.yaml
sleep 1
for change in $(seq "$changes"); do
    sed "s/deadline: 5s/deadline: $((change % 900 + 6))s/" \
        examples/arreola/celaya.yaml >"$work/celaya.yaml"
    date +%s.%N >>"$work/submitted"
    retry_until_success tool $((change % 7 + 1)) --replaces=$((change - 1)) \
        config submit "$work/celaya.yaml"
done
sleep 1
# "2026-01-01T00:00:00.123 ... Configuration 7 is in force."
grep -h "is in force" "$work"/h*.log | while read -r at _ _ _ _ revision _; do
    echo "$revision $(date -u -d "${at/T/ }" +%s.%N)"
done | sort -n >"$work/in-force"
awk -v changes="$changes" '
    NR == FNR { submitted[FNR + 1] = $1; next }
    { if (!($1 in first) || $2 < first[$1]) first[$1] = $2
      if ($2 > last[$1]) last[$1] = $2
      hosts[$1]++ }
    END {
        for (r in submitted) if (hosts[r] == 7) {
            n++; spread = last[r] - first[r]; total = last[r] - submitted[r]
            sum += total; if (total > most) most = total
            if (spread > widest) widest = spread; spreads += spread }
        printf "{\"bench\":\"rollout\",\"daemons\":7,\"changes\":%d,\"seen_on_all\":%d,\"mean_total_s\":%.3f,\"max_total_s\":%.3f,\"mean_first_to_last_s\":%.3f,\"max_first_to_last_s\":%.3f,\"target_s\":5}\n",
            changes, n, sum / n, most, spreads / n, widest }' \
    "$work/submitted" "$work/in-force"
