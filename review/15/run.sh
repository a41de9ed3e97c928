#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build-3.sh have built.
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/vanillasail ] && [ -x target/trial-3 ] || exit 2
exec target/trial-3 calls review/15
