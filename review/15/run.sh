#!/bin/sh
# Runs case 15 from the repository's root. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/citronstream ] && [ -x target/review3/15 ] || exit 2
exec target/review3/15
