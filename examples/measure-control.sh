#!/usr/bin/env bash
# Measures the resources that idle daemons use for control, for several numbers of
# daemons and of groups, and fits lines. Run it with make measure-control (about
# five minutes).
set -euo pipefail
cd "$(dirname "$0")/.."
csv=$(mktemp "${TMPDIR:-/tmp}/endivemoor-control.XXXXXX.csv")
for size in ${SIZES:-3,3 9,3 18,3 27,3 9,1 9,6 9,9}; do
  examples/fleet.sh control "${size%,*}" "${size#*,}" --csv "$csv" "$@" | grep '^daemons='
done
"${BIN:-./bin}/endivemoor-load" slopes "$csv"
