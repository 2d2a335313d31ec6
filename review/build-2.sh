#!/bin/sh
# Builds the programs of the cases of the second review, with their stand-ins, into bin/review-2. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-2/ ./review/*/case[0-9]* ./review/extra2/leaving
