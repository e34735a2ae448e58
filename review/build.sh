#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/ start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
