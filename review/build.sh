#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The deploy file's own build comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
