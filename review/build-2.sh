#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-stand2 ./review/stand2
