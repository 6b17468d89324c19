#!/bin/sh
# Plays bursts of clients at two instances whose descriptors do not suffice for all connections.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/standin-3 evict target/bulrushferry review/12/record.txt
