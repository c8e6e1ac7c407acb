#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/case ./review/standin-2
