#!/usr/bin/env bash
# Starts a stand-in for the users' platform on loopback and three daemons in
# front of it, and runs the main job over the statement protocol. Stops only the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=./bin
port="${PORT:-7600}"
work=$(mktemp -d "${TMPDIR:-/tmp}/endivemoor-lines.XXXXXX")
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

"$bin/standin" lines --port "$port" --dir "$work" >"$work/standin.log" 2>&1 &
pids+=("$!")
for _ in $(seq 200); do [ -s "$work/standin.log" ] && break; sleep 0.05; done
# A process that cannot listen exits; its log names the port that is in use.
check_running() { # pid, name
  kill -0 "$1" 2>/dev/null && return
  echo "$2 did not start:" >&2
  grep -m 1 -h 'address already in use' "$work/$2.log" >&2 || tail -n 3 "$work/$2.log" >&2
  exit 1
}
check_running "${pids[0]}" standin
for n in 1 2 3; do
  ENDIVEMOOR_BOOT="$work/vm$n.toml" "$bin/endivemoor" edge --metrics-port 0 >"$work/vm$n.log" 2>&1 &
  pids+=("$!")
done
sleep 0.5
for n in 1 2 3; do check_running "${pids[$n]}" "vm$n"; done
if ! "$bin/standin" play-lines --port "$port" --drain-pid "${pids[3]}"; then
  echo "logs in $work" >&2
  exit 1
fi
