# Functions that start and stop a group of daemons on loopback; to be sourced.
# group_size is 5 by default and at most 7, in up to four availability zones;
# the first five hosts are voters.
#
# group_start DIR      starts h1, h2, ... with data directories under DIR
# daemon_start N       starts or restarts daemon N
# daemon_kill N        kills daemon N (SIGKILL)
# tool N ARGUMENTS...  runs the command-line tool against daemon N
bin=${bin:-build/release/bin}
zones=(- leon leon celaya celaya irapuato irapuato salamanca)
group_size=${group_size:-5}
declare -A daemon_pids

group_hosts() {
    local list="" i
    for i in $(seq "$group_size"); do
        list+="${list:+,}h$i/${zones[$i]}/127.0.1.$i:$((base + 3))"
        list+="/127.0.1.$i:$((base + 2))"
        [ "$i" -gt 5 ] || list+="/voter"
    done
    echo "$list"
}

daemon_start() {
    local i=$1 first=${2:-} roles=gateway,scheduler
    if [ "$i" -le 5 ]; then roles+=,voter; else first=""; fi
    "$bin/dandelioncrankd" --host="h$i" --zone="${zones[$i]}" \
        --roles="$roles" --hosts="$(group_hosts)" \
        --caller_address="127.0.1.$i:$((base + 1))" \
        --control_address="127.0.1.$i:$((base + 2))" \
        --peer_address="127.0.1.$i:$((base + 3))" \
        --operator_address="127.0.1.$i:$((base + 4))" \
        --data_dir="$work/data-$i" $first 2>>"$work/h$i.log" &
    daemon_pids[$i]=$!
}

daemon_kill() {
    kill -KILL "${daemon_pids[$1]}" 2>/dev/null || true
    wait "${daemon_pids[$1]}" 2>/dev/null || true
}

tool() {
    local i=$1
    shift
    "$bin/dandelioncrank" --control="127.0.1.$i:$((base + 2))" \
        --operator_page="127.0.1.$i:$((base + 4))" "$@"
}

group_start() {
    work=$1
    base=${base:-17000}
    local i
    for i in $(seq "$group_size"); do daemon_start "$i" --bootstrap; done
}

group_end() {
    local pid
    for pid in "${daemon_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${daemon_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# Retries a command until it succeeds; fails after 200 attempts.
retry_until_success() {
    local _
    for _ in $(seq 200); do
        if "$@" >"$work/out" 2>&1; then return 0; fi
        sleep 0.05
    done
    cat "$work/out"
    return 1
}

# Prints the configuration revision of a daemon; nothing if unavailable.
revision_of() {
    tool "$1" --json config show 2>/dev/null |
        sed -n 's/^    "revision": \([0-9]*\),$/\1/p'
}

# Succeeds if all daemons are at the given configuration revision.
all_at_revision() {
    local i
    for i in $(seq "$group_size"); do
        [ "$(revision_of "$i")" = "$1" ] || return 1
    done
}
