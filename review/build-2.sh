#!/bin/sh
# Builds what the cases of the second review (review/6 to review/10) start beside the gatekeeper of the deploy file: the
# project's own agent and command line, and each folder's main.rs with its stand-ins, by rustc and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p frostvale-agent -p frostvale-ctl
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    [ -f "review/$case/main.rs" ] || continue
    rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$case" "review/$case/main.rs"
done
