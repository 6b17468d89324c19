#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-2 .
