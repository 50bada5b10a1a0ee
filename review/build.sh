#!/bin/sh
# Builds what the cases start, beside the gatekeeper of the deploy file: the program of each case, which holds its
# stand-ins (standard library alone), and for case 3 the project's agent and command line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*; do
    rustc --edition 2024 -O -A dead_code -o "target/review/case-${folder#review/}" "$folder/main.rs"
done
cargo build --locked --release -p frostvale-agent -p frostvale-ctl
