#!/usr/bin/env bash
# Builds the scripts of the review, with the stand-ins that they start, into
# target/review/. It needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/ ./cmd/...
