#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
for n in 11 12 13; do
  go build -tags review -o "target/review3/case$n" "./review/$n"
done
