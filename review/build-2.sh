#!/bin/bash
# Builds the stand-ins of the second review. The project's own programs are built by
# the build line of the deploy file.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p bin
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/standins-2 .
