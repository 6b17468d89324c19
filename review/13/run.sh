#!/bin/sh
# Plays a change of the config that takes a key away and adds a tenant with a space in its name.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/standin-3 name target/bulrushferry review/13/record.txt
