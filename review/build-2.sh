#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/9. The system's own program is
# that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/standin2 ./review/standin2/platform
