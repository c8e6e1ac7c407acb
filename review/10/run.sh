#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] || exit 2
exec timeout -k 2 115 target/review-2/case failing-runner review/10/record.txt
