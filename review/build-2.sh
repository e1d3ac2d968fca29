#!/usr/bin/env bash
# Builds the programs of the scripts in this folder, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/4 review/5; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/case-${case##*/}" "$case/case.rs"
done
