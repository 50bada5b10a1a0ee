#!/bin/sh
# Runs the case in the folder $1. The program of the case ends all processes that it started, and they end with it.
CASE=$1
ROOT=$(cd "$CASE/../.." && pwd)
program="$ROOT/target/review-2/case-$(basename "$CASE")"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/frostvale" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
TEMPORARY=$(mktemp -d) || exit 2
export CASE ROOT TEMPORARY
"$program" &
pid=$!
was_stopped=
trap 'was_stopped=1; kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
if [ -n "$was_stopped" ]; then
    wait "$pid" 2>/dev/null
    code=2
fi
rm -rf "$TEMPORARY"
[ "$code" -le 2 ] || code=2
exit "$code"
