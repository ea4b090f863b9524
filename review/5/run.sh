#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-harness ] || [ ! -x target/rhubarb-sidecar ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec target/review-harness lost-leave review/5
