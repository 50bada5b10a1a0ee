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
trap 'rm -rf "$CASE_TMP"' EXIT
export ROOT RECORD CASE_TMP
cd "$ROOT" || exit 2
# The case's program kills its gatekeepers itself; its process group is the safety net.
timeout --kill-after=2 115 "$program"
code=$?
case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
for pid in $(cat "$CASE_TMP"/*.pid 2>/dev/null); do kill -9 "$pid" 2>/dev/null; done
exit $code
