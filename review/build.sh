#!/bin/sh
# Builds the stand-ins of the scripted cases; run after the build of the deploy file, needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
