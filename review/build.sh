#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network: they use the standard library alone. The project's own
# programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../bin
GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../bin/review-standin ./standin
