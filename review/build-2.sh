#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/harness-2/main.rs
