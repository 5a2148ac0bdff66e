#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/goldcreststack ] && [ -x review/bin/stand ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec review/bin/stand many-ends review/3
