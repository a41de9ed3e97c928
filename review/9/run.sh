#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/vanillasail ] || [ ! -x target/trial-2 ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
exec target/trial-2 -case origin -record "$here/record.txt"
