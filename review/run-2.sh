#!/usr/bin/env bash
# Runs a scripted case: CASE FOLDER. Starts the stand-in and the machines, these with the command of the
# deploy file, waits for the stand-in's result, and ends all processes that it started. With TROUBLE=0
# the case is played without its disruptions, and with TROUBLE=first with the first one alone.
set -uo pipefail
case=$1 folder=$(cd "$2" && pwd) machines=3
cd "$(dirname "$0")/.."
work=$(mktemp -d "${TMPDIR:-/tmp}/review2.XXXXXX")
pids=()
end() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap end EXIT
trap 'exit 2' INT TERM
for program in bin/review-stand2 target/endivemoor; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
bin/review-stand2 --dir "$work" --record "$folder/record.txt" --trouble="${TROUBLE:-1}" "$case" >"$work/stand.out" 2>&1 &
stand=$!
pids+=("$stand")
for _ in $(seq 100); do grep -q listening "$work/stand.out" && break; sleep 0.05; done
for n in $(seq "$machines"); do
  ENDIVEMOOR_BOOT="$work/edge$n.toml" target/endivemoor edge --metrics-port 9464 >"$work/edge$n.log" 2>&1 &
  pids+=("$!")
done
for _ in $(seq 1150); do kill -0 "$stand" 2>/dev/null || break; sleep 0.1; done
if kill -0 "$stand" 2>/dev/null; then echo "the case took too long" >&2; exit 2; fi
wait "$stand"
result=$?
cat "$work/stand.out"
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/edge*.log "$KEEP_LOGS"
exit $result
