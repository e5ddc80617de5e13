#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/radishwalk-node.cjs ] && [ -f target/review/review/3/run.js ] || exit 2
exec node target/review/review/3/run.js
