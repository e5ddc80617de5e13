#!/bin/sh
# Builds the scripts of cases 4 to 8 and the stand-ins that they start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -p review
