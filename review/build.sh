#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. It needs no network:
# the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false go build -o ../../target/review-harness .
