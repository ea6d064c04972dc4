#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start beside the controllers. To be run after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stage ./review/stage
