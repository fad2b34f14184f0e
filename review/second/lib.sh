# Shared by the scripts of the second review: starts a small deployment on
# loopback addresses, sends calls and writes record.txt.
#
# A script sources it with `here` set to its folder. Exit codes: 1 the rule was
# broken, 0 it held, 2 the case couldn't run.
set -uo pipefail
repository=$(cd "$here/../.." && pwd)
cd "$repository" || exit 2
daemon=target/bin/dandelioncrank-platformd
minion=target/review-2/minion
TROUBLE=${TROUBLE:-1}
record=$here/record.txt
: >"$record"
work=$(mktemp -d)
declare -A pid_of=()
net=127.$((RANDOM % 100 + 100)).$((RANDOM % 200 + 1))
base=$((RANDOM % 9000 + 20000))
control_port=$base
client_port=$((base + 1))
ready_port=$((base + 2))
internal_port=$((base + 3))
minion_port=$((base + 4))
controls=""
for i in 1 2 3; do controls+="${controls:+,}$net.$i:$control_port"; done
began=$(date +%s%3N)

# Names of the programs that are stopped at the end are kept in pid_of.
end_all() {
    local pid
    for pid in "${pid_of[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    sleep 0.2
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM

note() { echo "$(date +%s%3N) script $*" >>"$record"; }
cannot_run() {
    note "cannot run: $*"
    echo "cannot run: $*"
    exit 2
}
broken() {
    note "RULE BROKEN: $*"
    echo "RULE BROKEN: $*"
    exit 1
}
held() {
    note "held: $*"
    echo "held: $*"
    exit 0
}

# settings NAME IP ROLE BOOTSTRAP: deploy/settings.tmpl, filled in.
settings() {
    local control="" client="" ready="" data=""
    if [ "$3" = control ]; then
        control=$2:$control_port
        data=$work/data-$1
    else
        client=$2:$client_port
        ready=$2:$ready_port
    fi
    sed -e "s|{{NodeName}}|$1|" -e "s|{{Zone}}|leon|" \
        -e "s|{{Ip}}:{{InternalPortRange.0}}|$2:$internal_port|" \
        -e "s|{{ListenAddrs.ControlPlane}}|$control|" \
        -e "s|{{ListenAddrs.Frontend}}|$client|" \
        -e "s|{{ListenAddrs.Ready}}|$ready|" -e "s|{{Seeds}}|$controls|" \
        -e "s|{{DataDir}}|$data|" -e "s|{{Bootstrap}}|$4|" \
        -e "s|{{Bounds.GraceS}}|6|" -e "s|{{Bounds.MaxHoldMs}}|6000|" \
        -e "s|{{HeartbeatMs}}|1500|" -e "s|{{FaultTolerance.Machines}}|1|" \
        -e "s|{{Limits.MaxFds}}|4096|" -e "s|{{Bounds.CatchUpS}}|4|" \
        -e "s|{{Ip}}:9464|$2:$((base + 5))|" deploy/settings.tmpl \
        >"$work/$1.settings"
}

# start_daemon NAME IP ROLE BOOTSTRAP
start_daemon() {
    settings "$@"
    DANDELIONCRANK_SETTINGS=$work/$1.settings $daemon >>"$work/$1.log" 2>&1 &
    pid_of[$1]=$!
    disown "${pid_of[$1]}"
}

# Four control hosts, of which three are the seeds, and two entry hosts.
start_group() {
    [ -x "$daemon" ] && [ -x "$minion" ] ||
        cannot_run "build the deploy file and review/build-2.sh first"
    local i
    for i in 1 2 3 4; do start_daemon "control-$i" "$net.$i" control true; done
    for i in 1 2; do start_daemon "entry-$i" "$net.1$i" entry false; done
}

# start_minion ID NUMBER SERVICE [OPTION...]
start_minion() {
    local id=$1 number=$2 service=$3
    shift 3
    $minion --id="$id" --address="$net.$((number + 100)):$minion_port" \
        --service="$service" --controls="$controls" --record="$record" "$@" \
        2>>"$work/minions.log" &
    pid_of[$id]=$!
    disown "${pid_of[$id]}"
}

# kill_minion ID: the minion crashes.
kill_minion() {
    note "minion $1 crashes"
    kill -KILL "${pid_of[$1]}"
    unset "pid_of[$1]"
}

# operator METHOD PATH [BODY-FILE]: asks the control hosts in turn; prints the
# status and leaves the body in $work/answer.
operator() {
    local i status data=()
    [ $# -gt 2 ] && data=(--data-binary "@$3" -H 'Content-Type: application/json')
    for ((i = 0; i < 60; ++i)); do
        status=$(curl -s -o "$work/answer" -w '%{http_code}' -m 2 -L --post301 \
            --post302 -X "$1" "${data[@]}" \
            "http://$net.$((i % 4 + 1)):$control_port$2")
        case $status in 200 | 400) break ;; esac
        sleep 0.3
    done
    note "operator $1 $2 $([ $# -gt 2 ] && head -c 400 "$3"): $status"
    echo "$status"
}

# requester METHOD PATH [BODY-FILE] [ENTRY]: one call; prints the status.
requester() {
    local status data=() answer=$work/answer.$BASHPID
    [ -n "${3:-}" ] &&
        data=(--data-binary "@$3" -H 'Content-Type: application/json')
    status=$(curl -s -o "$answer" -w '%{http_code}' -m 4 -X "$1" \
        "${data[@]}" -H 'Host: nony24.example' -H 'X-Key: key-1' \
        -H 'X-Deadline-Ms: 3000' "http://$net.1${4:-1}:$client_port$2")
    note "requester $1 $2 $([ -n "${3:-}" ] && head -c 300 "$3"): $status $(head -c 200 "$answer" 2>/dev/null)"
    cp "$answer" "$work/answer" 2>/dev/null
    rm -f "$answer"
    echo "$status"
}

# submit PATH BODY-FILE: a requester that repeats the call four times while it
# gets no answer or 5xx.
submit() {
    local i status
    for ((i = 0; i < 5; ++i)); do
        status=$(requester POST "$1" "$2" $((i % 2 + 1)))
        case $status in 000 | 5* | 429) sleep 0.4 ;; *) break ;; esac
    done
    echo "$status"
}

# state_of PATH: the State that a GET shows, or the status if it isn't 200.
state_of() {
    local status
    status=$(requester GET "$1" "" "${2:-1}")
    if [ "$status" = 200 ]; then
        sed -n 's/.*"State":"\([a-z]*\)".*/\1/p' "$work/answer"
    else
        echo "$status"
    fi
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
    local until=$(($(date +%s%3N) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(date +%s%3N)" -lt "$until" ] || return 1
        sleep 0.05
    done
}

has_line() { grep -qE "$1" "$record"; }
no_line() { ! has_line "$1"; }
entries_ready() {
    local i
    for i in 1 2; do
        [ "$(curl -s -o /dev/null -w '%{http_code}' -m 1 \
            "http://$net.1$i:$ready_port/readyz")" = 200 ] || return 1
    done
}

# minions_known COUNT: that many minions are known to the leader.
minions_known() {
    local i
    for i in 1 2 3 4; do
        curl -s -m 1 "http://$net.$i:$((base + 5))/state" |
            grep -q "\"role\":\"leader\".*\"workers\":$1[,}]" && return 0
    done
    return 1
}

# configure VERSION ROUTES SERVICES [GUARANTEED]: sends a desired state.
configure() {
    cat >"$work/config-$1.json" <<EOF
{"Version":$1,"Routes":[$2],"Services":[$3],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"kaje80","ApiKeys":["key-1"],"Priority":1,"Guaranteed":{"Gpu":${4:-0}}}]}
EOF
    [ "$(operator POST /config/replace "$work/config-$1.json")" = 200 ] ||
        cannot_run "the desired state $1 was not acknowledged"
}
route() { # NAME PREFIX SERVICE PRIORITY
    printf '{"Name":"%s","Host":"nony24.example","PathPrefix":"%s","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":%s,"Service":"%s","MaxAttempts":3,"Stretch":3.0,"Public":false}' "$1" "$2" "$4" "$3"
}
service() {
    printf '{"Name":"%s","HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"AdmissionControl":true,"Standby":false}' "$1"
}
