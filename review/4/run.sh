#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
command -v node >/dev/null || exit 2
[ -f target/review/review/4/main.js ] && [ -f target/radishwalk-node.cjs ] || exit 2
CASE_FOLDER=review/4 exec node target/review/review/4/main.js
