#!/usr/bin/env bash
# An edge node is stopped in order while a worker puts a stream back for some 1.7 s
# and sends nothing of it. Exits with 1 if the stream was cut, 0 if it was whole, 2 if the case could not
# run. With TROUBLE=0 the stream is not put back; the edge node is stopped all the same.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review/silence --record review/1/record.txt
