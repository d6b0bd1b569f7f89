#!/bin/sh
# Runs the case once. TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/mintdoor ] && [ -x ../../bin/review-9 ] || { echo "not built: the deploy file's build, then review/build-2.sh"; exit 2; }
exec timeout -k 5 110 ../../bin/review-9
