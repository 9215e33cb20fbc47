#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The entry program is built by the deploy
# file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o target/review/standin ./cmd/standin
go build -o target/review/stand ./review/platform
