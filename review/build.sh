#!/bin/sh
# Builds the stand-ins of the review's scripts. They need no module but Go's own library.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS="${GOFLAGS:-} -mod=mod" go build -o ../bin/standin .
