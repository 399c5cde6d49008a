#!/usr/bin/env bash
# Measures the resource use of idle daemons of the platform path: N daemons beside
# the lines stand-in on loopback, for SECONDS. Prints processor time and resident
# memory per daemon, and bytes on the loopback per daemon and second (an upper
# bound: all bytes that the daemons and the stand-in send).
set -euo pipefail
cd "$(dirname "$0")/.."
n="${1:-9}" seconds="${2:-20}" port="${PORT:-7600}"
bin=./bin
work=$(mktemp -d "${TMPDIR:-/tmp}/endivemoor-edge.XXXXXX")
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
"$bin/standin" lines --port "$port" --vms "$n" --dir "$work" >"$work/standin.log" 2>&1 &
pids+=("$!")
for _ in $(seq 200); do [ -s "$work/standin.log" ] && break; sleep 0.05; done
edges=()
for i in $(seq "$n"); do
  ENDIVEMOOR_BOOT="$work/vm$i.toml" "$bin/endivemoor" edge --metrics-port 0 >"$work/vm$i.log" 2>&1 &
  pids+=("$!") edges+=("$!")
done
sleep "${SETTLE:-5}"
ticks() { for p in "${edges[@]}"; do cut -d' ' -f14,15 "/proc/$p/stat"; done | awk '{s+=$1+$2} END {print s}'; }
sent() { awk '/ lo:/ || /^ *lo:/ {print $10}' /proc/net/dev; }
t0=$(ticks) b0=$(sent)
sleep "$seconds"
t1=$(ticks) b1=$(sent)
rss=$(for p in "${edges[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s+=$1} END {print s/NR/1024}')
awk -v n="$n" -v s="$seconds" -v t="$((t1 - t0))" -v b="$((b1 - b0))" -v r="$rss" -v hz="$(getconf CLK_TCK)" \
  'BEGIN {printf "daemons %d: processor %.2f%% of a core, memory %.1f MB, loopback %.1f KB/s, each\n", n, 100*t/hz/s/n, r, b/s/n/1024}'
