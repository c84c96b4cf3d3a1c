#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -tags review -o target/review2/ ./review/rig2
