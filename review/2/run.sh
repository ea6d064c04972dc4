#!/usr/bin/env bash
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
# TROUBLE=0 leaves the disruption out. The project must be built; the stand-ins are built if they are missing.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/ospreyslip ] || { echo "target/ospreyslip is missing: build the project first"; exit 2; }
[ -x target/review-rig ] || review/build.sh || exit 2
exec target/review-rig straggler "$here/record.txt"
