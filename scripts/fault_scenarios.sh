#!/usr/bin/env bash
# Runs each fault and planned operation alone, twice, and in random pairs
# against a site. Prints one line per scenario with its result, then the details
# of every scenario that did not pass.
# usage: scripts/fault_scenarios.sh FLEETBENCH SITE REASON [PAIRS] [JOBS]
set -euo pipefail
bench=$1 site=$2 reason=$3 pairs=${4:-40} jobs=${5:-3}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Section of the scenario file, then the fields of the entry without "at".
entries=(
    'faults|kind="burst", x=2.2, for_s=6.0'
    'faults|kind="give_up", share=0.35, for_s=8.0'
    'faults|kind="give_up", share=0.35, for_s=8.0, how="prompt", x=200.0'
    'faults|kind="srv_slow", share=0.2, x=6.0, for_s=7.0'
    'faults|kind="srv_grey", share=0.2, x=0.8, for_s=6.0, how="errors"'
    'faults|kind="srv_grey", share=0.2, x=0.8, for_s=6.0, how="hang"'
    'faults|kind="srv_grey", share=0.2, x=0.8, for_s=6.0, how="mute"'
    'faults|kind="srv_grey", share=0.2, x=0.8, for_s=6.0, how="reset"'
    'faults|kind="srv_grey", share=0.2, x=8.0, for_s=6.0, how="slow"'
    'faults|kind="srv_lying_health", share=0.2, for_s=6.0, how="errors"'
    'faults|kind="srv_lying_health", share=0.2, for_s=6.0, how="bad"'
    'faults|kind="srv_flap", share=0.2, gap_s=1.4, for_s=7.0'
    'plan|kind="scale_out", share=0.25, gap_s=2.0'
    'plan|kind="scale_in", share=0.15'
    'plan|kind="scale_in", share=0.15, how="spot", x=1.7'
    'plan|kind="scale_in", how="reclaim", x=2.0, for_s=6.0'
    'plan|kind="release", service="@s0", gap_s=0.3'
    'faults|kind="srv_cut", share=0.2, for_s=6.0'
    'faults|kind="srv_cut", share=0.2, for_s=6.0, how="one_way"'
    'faults|kind="srv_cut", share=0.2, for_s=6.0, how="reset"'
    'faults|kind="srv_cut", share=0.2, for_s=6.0, how="reborn"'
    'faults|kind="srv_cut", share=0.2, for_s=6.0, how="some", x=0.4'
    'faults|kind="srv_cut", share=0.2, for_s=6.0, how="some lossy", x=0.4'
    'faults|kind="node_cut", share=0.2, for_s=6.0, how="servers", service="@s0"'
    'faults|kind="node_cut", share=0.2, for_s=6.0, how="servers reborn", service="@s0"'
    'faults|kind="node_kill", share=0.4'
    'faults|kind="node_kill", share=0.4, how="power", for_s=4.0'
    'faults|kind="node_kill", on="core", count=1, how="leader race drain"'
    'faults|kind="node_kill", on="core", count=1, how="power wipe follower", for_s=2.0'
    'faults|kind="node_kill", on="core", count=1, how="giver"'
    'faults|kind="node_freeze", share=0.4, for_s=4.0'
    'faults|kind="node_freeze", on="core", count=1, how="renewed race hard", for_s=5.0'
    'faults|kind="node_freeze", on="core", count=1, how="leader drain", for_s=4.0'
    'faults|kind="node_slow", share=0.4, x=6.0, for_s=5.0'
    'faults|kind="node_slow", on="core", count=2, x=8.0, for_s=5.0'
    'plan|kind="roll_term", share=1.0, gap_s=2.0'
    'plan|kind="roll_term", on="core", share=1.0, gap_s=3.0, how="leader"'
    'plan|kind="roll_term", on="core", share=1.0, gap_s=3.0, how="starter busy"'
    'plan|kind="roll_term", share=0.4, gap_s=2.0, how="remove"'
    'faults|kind="herd_kill", share=0.6'
    'faults|kind="herd_kill", on="core", share=1.0, how="power", for_s=5.0'
    'faults|kind="herd_kill", on="core", share=1.0, how="off", for_s=5.0'
    'faults|kind="herd_kill", on="core", share=1.0, how="taken", for_s=2.0'
    'faults|kind="herd_kill", on="core", share=1.0, how="taken all", for_s=2.0'
    'plan|kind="add_nodes"'
    'plan|kind="seed_turnover"'
    'faults|kind="after_ack_kill", for_s=2.0'
    'faults|kind="after_ack_kill", for_s=2.0, how="timed"'
    'faults|kind="after_ack_kill", for_s=2.0, how="taken gone"'
    'faults|kind="after_ack_wipe", for_s=2.0'
    'faults|kind="after_ack_wipe", for_s=2.0, how="oldest"'
    'plan|kind="replace_core"'
    'plan|kind="replace_core", how="planned"'
    'plan|kind="replace_core", how="oldest"'
    'faults|kind="disk_slow", count=2, x=30.0, for_s=6.0'
    'faults|kind="disk_stall", count=1, for_s=5.0'
    'faults|kind="disk_full", count=1, for_s=5.0'
    'faults|kind="clock_step", share=0.4, x=3000.0, for_s=5.0, how="back"'
    'faults|kind="clock_step", share=0.4, x=3000.0, for_s=5.0, how="ahead"'
    'plan|kind="hup", share=1.0, gap_s=2.0'
    'faults|kind="zone_cut", for_s=6.0, how="drop meet", zone="@z0"'
    'faults|kind="zone_cut", for_s=6.0, how="reset", zone="@z0"'
    'faults|kind="core_cut", for_s=5.0, how="leader race hard"'
    'faults|kind="core_cut", for_s=5.0, how="leader one_way"'
    'faults|kind="core_cut", for_s=5.0, how="split"'
    'faults|kind="core_cut", for_s=5.0, how="all leader"'
    'faults|kind="core_cut", for_s=5.0, how="behind"'
    'faults|kind="core_cut", for_s=5.0, how="near oldest"'
    'faults|kind="core_cut", for_s=5.0, how="both"'
    'faults|kind="core_cut", for_s=5.0, how="seeds"'
    'faults|kind="core_cut", for_s=5.0, how="lure"'
    'faults|kind="core_cut", for_s=5.0, how="relieve"'
    'faults|kind="node_cut", share=0.4, for_s=5.0'
    'faults|kind="node_cut", share=0.4, for_s=5.0, how="all"'
    'plan|kind="config_change", how="route"'
    'plan|kind="config_change", how="tenant"'
    'plan|kind="config_change", how="quota down"'
    'plan|kind="config_race", count=3, gap_s=1.0'
    'plan|kind="bad_config", count=8, gap_s=0.5'
    'faults|kind="ack_lost", x=0.7, for_s=10.0'
    'plan|kind="revoke", count=2, gap_s=1.0'
    'plan|kind="revoke", count=2, gap_s=1.0, how="last"'
    'faults|kind="poison", share=0.2, class="@c0", for_s=8.0'
    'faults|kind="poison", share=0.2, class="@c0", for_s=8.0, how="long", x=5.0'
    'faults|kind="applied_late", x=0.3, for_s=8.0, how="orders"'
    'faults|kind="applied_late", x=0.3, for_s=8.0, how="grants"'
    'faults|kind="applied_late", x=0.5, for_s=10.0, how="all"'
    'faults|kind="reset_conns", share=1.0, x=1.0'
    'faults|kind="answer_lost", x=0.5, for_s=8.0'
)

write_scenario() { # file, then pairs of a start time and an index
    local file=$1 plan='' faults='' section fields
    shift
    while (($# > 1)); do
        IFS='|' read -r section fields <<<"${entries[$2]}"
        if [[ $section == plan ]]; then
            plan+="  { at = $1, $fields },"$'\n'
        else
            faults+="  { at = $1, $fields },"$'\n'
        fi
        shift 2
    done
    printf 'name = "%s"\nslot = "trouble"\nlength_s = 36.0\n' \
        "$(basename "$file" .toml)" >"$file"
    printf 'plan = [\n%s]\nfaults = [\n%s]\n' "$plan" "$faults" >>"$file"
}

run_scenario() { # file
    "$bench" run "$site" "$1" --seed "$RANDOM$RANDOM" --jobs 1 \
        --why "$reason: $(basename "$1" .toml)" >"${1%.toml}.out" 2>&1 || true
}
export -f run_scenario
export bench site reason

count=${#entries[@]}
for ((i = 0; i < count; ++i)); do
    write_scenario "$work/alone-$i.toml" 12.0 "$i"
    write_scenario "$work/doubled-$i.toml" 10.0 "$i" 13.0 "$i"
done
for ((n = 0; n < pairs; ++n)); do
    a=$((RANDOM % count)) b=$((RANDOM % count))
    write_scenario "$work/pair-$n-$a-$b.toml" 10.0 "$a" \
        "1$((RANDOM % 6)).$((RANDOM % 10))" "$b"
done
"$bench" build >/dev/null
find "$work" -name '*.toml' -print0 | sort -z |
    xargs -0 -P "$jobs" -I '{}' bash -c 'run_scenario {}'

result_of() { # output file
    if grep -q 'BROKEN' "$1"; then echo broken
    elif grep -q 'short of the gate' "$1"; then echo short
    elif grep -q '^day ' "$1"; then echo passed
    else echo not-run; fi
}
for ((i = 0; i < count; ++i)); do
    echo "$(result_of "$work/alone-$i.out") $(result_of "$work/doubled-$i.out")" \
        "${entries[$i]#*|}"
done
for out in "$work"/pair-*.out; do
    IFS=- read -r _ _ a b <<<"$(basename "$out" .out)"
    echo "$(result_of "$out") pair ${entries[$a]#*|} + ${entries[$b]#*|}"
done
echo "== Scenarios that broke a rule, missed the target or did not run"
for out in "$work"/*.out; do
    [[ $(result_of "$out") == passed ]] && continue
    echo "-- $(basename "$out" .out)"
    cat "${out%.out}.toml"
    grep -E 'BROKEN|short of|wrong|seed|rror|snapshot' "$out" | head -12 || true
done
