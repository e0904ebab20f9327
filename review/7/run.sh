#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.."
exec target/review-2/harness two-versions review/7/record.txt
