# Sourced by run.sh of each case, with CASE set to its number: runs the case's program and ends all that it started.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
program=$ROOT/target/review/case-$CASE
RECORD=$here/record.txt
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/frostvale" ]; then
    echo "COULD NOT RUN: build the deploy file's programs and review/build.sh first" | tee "$RECORD"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
job=
# The case's program ends what it started. This is for what is left where it, or this script, is ended from outside: each
# process that still runs has a file with its id.
finish() {
    [ -z "$job" ] || { kill "$job" 2>/dev/null; wait "$job" 2>/dev/null; }
    for file in "$CASE_TMP"/*.pid; do
        [ ! -f "$file" ] || kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
export ROOT RECORD CASE_TMP
cd "$ROOT" || exit 2
timeout --kill-after=2 115 "$program" &
job=$!
wait "$job"
code=$?
job=
case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
exit $code
