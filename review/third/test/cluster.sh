# Sourced by the cases of the third review: a small deployment on loopback
# addresses, of separate processes with the settings of deploy/settings.tmpl.
# The bounds are those of the small sites (arreola-rol).

CASE_DIR="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
ROOT="$(cd "$CASE_DIR/../.." && pwd)"
cd "$ROOT" || exit 2
TROUBLE="${TROUBLE:-1}"
DAEMON=target/bin/dandelioncrank-platformd
STANDIN=target/review-3/standin
RECORD="$CASE_DIR/record.txt"
WORK="$(mktemp -d)"
NET="127.$((20 + RANDOM % 200))"
declare -A PIDS=()
STARTED_MS=$(date +%s%3N)
: > "$RECORD"

now_ms() { echo $(($(date +%s%3N) - STARTED_MS)); }

say() { echo "$(now_ms) $*" >> "$RECORD"; }

# Ends every process that this script has started, and adds what the minions
# have noted.
finish() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2> /dev/null
        kill -KILL "${PIDS[$name]}" 2> /dev/null
    done
    wait 2> /dev/null
    if [ -s "$WORK/events" ]; then
        echo "What the minions ran (ms, minion, event):" >> "$RECORD"
        awk -v start="$STARTED_MS" '{ $1 -= start; print }' "$WORK/events" \
            >> "$RECORD"
    fi
    grep -h -e 'job has failed' -e 'has ended, it crashed' -e 'is closed' \
        "$WORK"/control-*.log 2> /dev/null | cut -c1-400 |
        sed 's/^/log of a control host: /' >> "$RECORD"
    rm -rf "$WORK"
}
trap finish EXIT

give_up() { say "the case could not run: $*"; exit 2; }

verdict() { # HELD|BROKEN TEXT
    say "$*"
    if [ "$1" = BROKEN ]; then exit 1; fi
    exit 0
}

# start_daemon NAME: the role's command with its settings file.
start_daemon() {
    DANDELIONCRANK_SETTINGS="$WORK/$1.conf" \
        DANDELIONCRANK_ZONES="z1,z2,z3,z4" DANDELIONCRANK_MEMORY_MIB=256 \
        "$DAEMON" >> "$WORK/$1.log" 2>&1 &
    PIDS[$1]=$!
}

# write_settings NAME ZONE IP CONTROL CLIENT READY DATA
write_settings() {
    sed -e "s|{{NodeName}}|$1|" -e "s|{{Zone}}|$2|" -e "s|{{Ip}}|$3|g" \
        -e "s|{{InternalPortRange.0}}|$INTERNAL_PORT|" \
        -e "s|{{ListenAddrs.ControlPlane}}|$4|" \
        -e "s|{{ListenAddrs.Frontend}}|$5|" \
        -e "s|{{ListenAddrs.Ready}}|$6|" -e "s|{{DataDir}}|$7|" \
        -e "s|{{Seeds}}|$CONTROLS|" -e "s|{{Bootstrap}}|true|" \
        -e "s|{{Bounds.GraceS}}|6|" -e "s|{{Bounds.MaxHoldMs}}|6000|" \
        -e "s|{{HeartbeatMs}}|1500|" -e "s|{{FaultTolerance.Machines}}|1|" \
        -e "s|{{Limits.MaxFds}}|4096|" -e "s|{{Bounds.CatchUpS}}|4|" \
        -e "s|:9464|:$METRICS_PORT|" deploy/settings.tmpl > "$WORK/$1.conf"
}

# start_cluster [CONTROL_HOSTS ENTRY_HOSTS]: in as many zones as control hosts.
start_cluster() {
    local controls=${1:-3}
    ENTRIES=${2:-2}
    [ -x "$DAEMON" ] && [ -x "$STANDIN" ] || give_up "nothing is built"
    read -r INTERNAL_PORT CONTROL_PORT CLIENT_PORT READY_PORT METRICS_PORT \
        MINION_PORT <<< "$("$STANDIN" ports 6)"
    CONTROLS=""
    local n
    for n in 1 2 3; do
        CONTROLS+="${CONTROLS:+,}$NET.1.$n:$CONTROL_PORT"
    done
    for n in $(seq "$controls"); do
        mkdir -p "$WORK/data-$n"
        write_settings "control-$n" "z$n" "$NET.1.$n" \
            "$NET.1.$n:$CONTROL_PORT" "" "" "$WORK/data-$n"
        start_daemon "control-$n"
    done
    for n in $(seq "$ENTRIES"); do
        write_settings "entry-$n" "z$(((n - 1) % controls + 1))" "$NET.2.$n" "" \
            "$NET.2.$n:$CLIENT_PORT" "$NET.2.$n:$READY_PORT" ""
        start_daemon "entry-$n"
    done
}

# One queue, one tenant; minions guard their capacity.
DESIRED_STATE='{"Version":7,"Routes":[{"Name":"r-1","Host":"nony24.example","PathPrefix":"/lohu930/","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"planning","MaxAttempts":4,"Stretch":3.0,"Public":false}],"Services":[{"Name":"planning","HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"AdmissionControl":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"kaje80","ApiKeys":["d4a3hwrr6x73d3zji9n7"],"Priority":1,"Guaranteed":{"Gpu":8}}]}'

# configure: the operator sends the desired state until it is acknowledged.
configure() {
    local reply n
    for n in $(seq 50); do
        reply=$("$STANDIN" call POST "$CONTROLS" /config/replace to=control \
            time_ms=1000 "body=$DESIRED_STATE")
        [ "${reply%% *}" = 200 ] && break
        sleep 0.2
    done
    [ "${reply%% *}" = 200 ] || give_up "no ack of the desired state: $reply"
    say "operator: POST /config/replace, version 7 -> 200"
    for n in $(seq 100); do
        are_ready && return
        sleep 0.1
    done
    give_up "the entry hosts are not ready"
}

are_ready() {
    local reply n
    for n in $(seq "$ENTRIES"); do
        reply=$("$STANDIN" call GET "$NET.2.$n:$READY_PORT" /readyz \
            time_ms=1000)
        [ "${reply%% *}" = 200 ] || return 1
    done
}

# start_minion N [name=value ...]
start_minion() {
    local n=$1
    shift
    "$STANDIN" minion "id=i-$n" "address=$NET.3.$n:$MINION_PORT" \
        "zone=z$((n % 3 + 1))" "rack=r1-$(((n + 1) / 2))" \
        "controls=$CONTROLS" "events=$WORK/events" "$@" \
        >> "$WORK/minion-$n.log" 2>&1 &
    PIDS[minion-$n]=$!
}

start_minions() { # COUNT [name=value ...]
    local count=$1 n
    shift
    for n in $(seq "$count"); do start_minion "$n" "$@"; done
    sleep 2.5
}

# request ENTRY METHOD PATH [BODY [TIME_MS]]: a requester's call; sets REPLY.
request() {
    REPLY=$("$STANDIN" call "$2" "$NET.2.$1:$CLIENT_PORT" "$3" \
        host=nony24.example key=d4a3hwrr6x73d3zji9n7 deadline_ms=3000 \
        "time_ms=${5:-3000}" "body=${4:-}")
    say "requester, at entry-$1: $2 $3 ${4:-} -> ${REPLY/#0 /no answer in ${5:-3000} ms}"
}

# running_on: the number of the minion that runs a work item now, by its notes.
running_on() {
    awk '/run started:/ { on[$2] = $5 " " $7 }
        /run ended:/ || / is up, / { delete on[$2] }
        END { for (name in on) print substr(name, 3) }' "$WORK/events" | head -1
}
