#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start into
# target/review-2/. It needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/ ./cmd/...
