#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/citronstream ] && [ -x target/review/5 ] || exit 2
exec target/review/5 review/5/record.txt
