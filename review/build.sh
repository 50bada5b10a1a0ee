#!/bin/sh
# Builds the program of each case, with its stand-ins, from the standard library alone. Needs the Rust tool chain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*; do
    rustc --edition 2024 -O -A dead_code -o "target/review/case-${folder#review/}" "$folder/main.rs"
done
