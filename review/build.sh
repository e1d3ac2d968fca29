#!/bin/sh
# Builds the stand-ins of the review, after the build of the deploy file. Needs the compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
