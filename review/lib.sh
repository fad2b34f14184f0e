# Shared by the scripts of the cases: starts a small deployment on loopback
# addresses, with the program and the template of the deploy file, and stand-ins
# for minions. Callers and the operator are curl.
#
# Sets: work (temporary folder), record, net (first three parts of the
# addresses), control_port, client_port. A case may set cores (number of core
# machines), tolerated (how many of them may be lost at once), catch_up_s and
# max_hold_ms.
set -u
: "${cores:=4}" "${tolerated:=1}" "${catch_up_s:=4}" "${max_hold_ms:=6000}"
cd "$(dirname "${BASH_SOURCE[0]}")/.."
: "${TROUBLE:=1}"
case_dir=${case_dir:?}
record=$case_dir/record.txt
work=$(mktemp -d)
declare -A pids=()
program=target/bin/dandelioncrank-platformd

now_ms() { date +%s%3N; }
say() { echo "$(now_ms) $*" >>"$record"; }
cannot_run() {
    echo "cannot run: $*" | tee -a "$record" >&2
    exit 2
}

end_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -KILL "${pids[$name]}" 2>/dev/null
    done
    sleep 0.2
    [ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
    rm -rf "$work"
}
trap end_all EXIT

is_free() { ! (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

prepare() {
    [ -x $program ] || cannot_run "$program is missing"
    [ -x target/review/minion ] || cannot_run "review/build.sh has not run"
    : >"$record"
    net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    local base=$((RANDOM % 12000 + 20000))
    internal_port=$base
    control_port=$((base + 100))
    client_port=$((base + 101))
    ready_port=$((base + 102))
    local host port
    for host in $net.1 $net.2 $net.3 $net.4 $net.5 $net.6 $net.11 $net.12; do
        for port in $internal_port $control_port $client_port $ready_port 9464; do
            is_free $host $port || cannot_run "$host:$port is in use"
        done
    done
    seeds=$net.1:$control_port,$net.2:$control_port,$net.3:$control_port
    control_list=$seeds
    for host in $(seq 4 $cores); do control_list+=,$net.$host:$control_port; done
}

# settings NAME IP ZONE SERVES BOOTSTRAP: fills in the template as the platform
# does, with the bounds of the sites.
settings() {
    local control="" client="" ready="" data=""
    if [ "$4" = control ]; then
        control=$2:$control_port
        data=$work/data-$1
        mkdir -p "$data"
    else
        client=$2:$client_port
        ready=$2:$ready_port
    fi
    sed -e "s|{{NodeName}}|$1|; s|{{Zone}}|$3|" \
        -e "s|{{Ip}}:{{InternalPortRange.0}}|$2:$internal_port|" \
        -e "s|{{Ip}}|$2|" \
        -e "s|{{ListenAddrs.ControlPlane}}|$control|" \
        -e "s|{{ListenAddrs.Frontend}}|$client|" \
        -e "s|{{ListenAddrs.Ready}}|$ready|" \
        -e "s|{{Seeds}}|$seeds|; s|{{DataDir}}|$data|" \
        -e "s|{{Bootstrap}}|$5|; s|{{Bounds.GraceS}}|6|" \
        -e "s|{{Bounds.MaxHoldMs}}|$max_hold_ms|; s|{{HeartbeatMs}}|1500|" \
        -e "s|{{FaultTolerance.Machines}}|$tolerated|; s|{{Limits.MaxFds}}|4100|" \
        -e "s|{{Bounds.CatchUpS}}|$catch_up_s|" \
        deploy/settings.tmpl >"$work/$1.settings"
    ! grep -q '{{' "$work/$1.settings" || cannot_run "the template has new fields"
}

# daemon NAME: starts a process as the platform does.
daemon() {
    env -i PATH="$PATH" HOME="$work" LANG=C \
        DANDELIONCRANK_SETTINGS="$work/$1.settings" $program \
        >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
    disown $!
    say "daemon $1 starts"
}

# Core machines in zones of their own, and two frontend machines.
start_system() {
    local i
    for i in $(seq $cores); do settings core-$i $net.$i zone-$i control true; done
    for i in 1 2; do settings front-$i $net.$((10 + i)) zone-$i entry true; done
    for i in $(seq $cores); do daemon core-$i; done
    for i in 1 2; do daemon front-$i; done
    sleep 0.5
    for i in $(seq $cores); do
        sed -i 's/--bootstrap=true/--bootstrap=false/' "$work/core-$i.settings"
    done
}

# minion ID NUMBER LABELS [OPTION VALUE]...: starts a minion, or its next boot.
minion() {
    local id=$1 number=$2 labels=$3
    shift 3
    target/review/minion --id "$id" --service svc --zone zone-1 \
        --address $net.$((100 + number)):$client_port --labels "$labels" \
        --control "$control_list" --hold $max_hold_ms \
        --record "$record" "$@" \
        2>>"$work/minion.err" &
    pids[$id]=$!
    disown $!
}

crash() {
    kill -KILL "${pids[$1]}" && say "minion $1 crashes"
    unset "pids[$1]"
}

desired_state() {
    cat <<EOT
{"Version":$1,"Routes":[
{"Name":"r-urgent","Host":"h.example","PathPrefix":"/urgent/","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":0,"Service":"svc","MaxAttempts":3,"Stretch":1.5,"Public":false},
{"Name":"r-plan","Host":"h.example","PathPrefix":"/plan/","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"svc","MaxAttempts":4,"Stretch":3.0,"Public":false},
{"Name":"r-batch","Host":"h.example","PathPrefix":"/batch/","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":3000,"Priority":2,"Service":"svc","MaxAttempts":2,"Stretch":3.0,"Public":false}],
"Services":[{"Name":"svc","HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"AdmissionControl":true,"Standby":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Guaranteed":{"Gpu":4}}]}
EOT
}

# configure VERSION: sends a desired state until it is acknowledged.
configure() {
    desired_state "$1" >"$work/config.json"
    local i status
    for ((i = 0; i < 150; ++i)); do
        status=$(curl -s -o /dev/null -w '%{http_code}' -m 2 -L --post301 --post302 \
            -X POST -H 'Content-Type: application/json' \
            --data-binary @"$work/config.json" \
            "http://$net.$((i % cores + 1)):$control_port/config/replace")
        if [ "$status" = 200 ]; then
            say "desired state $1 acknowledged"
            return
        fi
        sleep 0.1
    done
    cannot_run "no desired state was acknowledged"
}

# call METHOD PATH [BODY]: a requester's call; prints "STATUS BODY". It is sent
# again, to the other frontend machine, after 429, 502, 503, 504 or no answer.
call() {
    local i answer
    for ((i = 0; i < 8; ++i)); do
        answer=$(curl -s -m 3 -w '\n%{http_code}' -X "$1" -H 'Host: h.example' \
            -H 'X-Key: key-1' -H 'X-Deadline-Ms: 3000' \
            -H 'Content-Type: application/json' ${3:+--data-binary "$3"} \
            "http://$net.$((11 + i % 2)):$client_port$2" | tr '\n' ' ')
        answer=$(echo "$answer" | sed -E 's/^(.*) ([0-9]{3}) ?$/\2 \1/; s/^ ([0-9]{3}) ?$/\1/')
        case $answer in 429* | 50* | 000*) sleep 0.2 ;; *) break ;; esac
    done
    echo "$answer"
}

# submit PATH BODY
submit() {
    local answer
    answer=$(call POST "$1" "$2")
    say "requester POST $1 $2 -> $answer"
    case $answer in 2*) ;; *) cannot_run "$1 was not accepted: $answer" ;; esac
}

# state PATH: asks for a job; prints the answer.
state() {
    local answer
    answer=$(call GET "$1")
    say "requester GET $1 -> $answer"
    echo "$answer"
}

# starts TASK: how often minions have begun a work item.
starts() { grep -c " start $1 " "$record" || true; }

# wait_for SECONDS COMMAND...
wait_for() {
    local until=$(($(now_ms) + $1 * 1000))
    shift
    while ! "$@"; do
        [ "$(now_ms)" -lt $until ] || return 1
        sleep 0.05
    done
}

job_id() { printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM; }

is_ready() {
    local i
    for i in 11 12; do
        [ "$(curl -s -o /dev/null -w '%{http_code}' -m 1 \
            "http://$net.$i:$ready_port/readyz")" = 200 ] || return 1
    done
}
