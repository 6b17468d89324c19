#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. It needs no network once the
# build of the deploy file has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -o target/review-3/standin-3 ./review/standin-3
