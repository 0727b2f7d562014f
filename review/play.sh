#!/usr/bin/env bash
# Plays the case of the given number and ends all processes that it started. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
number=$1
[ -x "target/review/case-$number" ] && [ -x target/release/laburnumvalve ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP

# Ends gateways that are left, as after an interrupt.
end_all() {
    kill -9 "$case_pid" 2>/dev/null
    for pid in $(cat "$CASE_TMP/pids" 2>/dev/null); do
        if grep -qz 'laburnumvalve$' "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$CASE_TMP"
}
trap end_all EXIT
trap 'exit 2' TERM INT

"target/review/case-$number" "review/$number/record.txt" &
case_pid=$!
wait "$case_pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
