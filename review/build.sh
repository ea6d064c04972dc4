#!/usr/bin/env bash
# Builds the stand-ins of the review. Needs what the project's own build needs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
