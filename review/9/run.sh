#!/usr/bin/env bash
# A queue is sent to another service, and the minions of the old service leave.
# A job that was accepted before and had not begun never begins.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../second/lib.sh"
start_group
both="$(service huvo11a),$(service huvo22b)"
configure 1 "$(route r-one /lohu930/ huvo11a 1)" "$both"
for i in 1 2; do start_minion "m-$i" "$i" huvo11a; done
for i in {3..14}; do start_minion "m-$i" "$i" huvo22b; done
wait_for 20 entries_ready || cannot_run "the entry hosts are not ready"
wait_for 20 minions_known 14 || cannot_run "the minions are not known"

# The first job fills the old service, so the second one waits there.
echo '{"Spec":"ms=6000 gpu=8 cpu=8000","Steps":[{"Count":2,"Cpu":8000,"MemMb":256,"Gpu":8,"EstimatedMs":6000}]}' >"$work/first"
echo '{"Spec":"ms=1000 gpu=8 cpu=8000","Steps":[{"Count":1,"Cpu":8000,"MemMb":256,"Gpu":8,"EstimatedMs":1000}]}' >"$work/second"
first=5c0e7a21d94b36f8
second=5c0e7a21d94b36f9
third=5c0e7a21d94b36fa
[ "$(submit /lohu930/$first "$work/first")" = 200 ] || cannot_run "the first job was not accepted"
wait_for 10 has_line "START $first.0.0.1 " || cannot_run "the first job did not begin"
[ "$(submit /lohu930/$second "$work/second")" = 200 ] || cannot_run "the second job was not accepted"

if [ "$TROUBLE" != 0 ]; then
    configure 2 "$(route r-one /lohu930/ huvo22b 1)" "$(service huvo22b)"
    for i in 1 2; do
        note "minion m-$i is told to leave"
        kill -TERM "${pid_of[m-$i]}"
    done
fi
wait_for 20 minions_known "$([ "$TROUBLE" = 0 ] && echo 14 || echo 12)" || cannot_run "the old minions have not left"
# A job that is handed in now shows that there is room.
[ "$(submit /lohu930/$third "$work/second")" = 200 ] || cannot_run "the third job was not accepted"
wait_for 15 has_line "END $third.0.0.0 .* done" || cannot_run "the third job did not run"
wait_for 25 has_line "START $second.0.0.0 "
state=$(state_of /lohu930/$second)
if has_line "START $second.0.0.0 "; then
    held "the second job has begun"
fi
broken "the second job is $state and has not begun, 25 s after the third one ended, and the 12 minions of the queue's service are idle"
