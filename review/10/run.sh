#!/bin/sh
# Plays the case of claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/wigeonlock ] && [ -x target/review2/rig2 ] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/review2/rig2 crossing target/wigeonlock "$here/record.txt"
