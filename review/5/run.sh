#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/poplarswitch ] || exit 2
exec target/review/harness streams review/5
