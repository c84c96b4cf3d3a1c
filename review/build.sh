#!/bin/sh
# Builds the stand-ins and drivers of the review cases into target/review/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
