#!/usr/bin/env bash
# Starts a fleet of any size as processes on loopback and measures it. Stops only
# the processes that it started.
#
#   examples/fleet.sh spread DAEMONS GROUPS    measures how a configuration spreads, also in an outage
#   examples/fleet.sh control DAEMONS GROUPS   measures the resource use of idle daemons
set -euo pipefail
cd "$(dirname "$0")/.."
mode=$1 daemons=$2 groups=$3
shift 3
bin=${BIN:-./bin}
work=$(mktemp -d "${TMPDIR:-/tmp}/endivemoor-fleet.XXXXXX")
conf=$work/fleet
declare -A pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

await() { # command...
  for _ in $(seq 200); do "$@" >/dev/null 2>&1 && return; sleep 0.05; done
  echo "gave up waiting for: $*; logs in $work" >&2
  exit 1
}

# Exits if a process has ended, for example because another run uses its port.
check() {
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || { echo "$name ended:" >&2; tail -n 3 "$work/$name.log" >&2; exit 1; }
  done
}

ctl() { "$bin/endivemoorctl" --platform "http://$platform" "$@"; }

"$bin/endivemoor-load" fleet --daemons "$daemons" --groups "$groups" --first-port "${FIRST_PORT:-9000}" --dir "$conf" ${FLEET_FLAGS:-}
. "$conf/run.env"
start platform "$bin/standin" platform --listen "$platform" --seed-dir "$conf/objects" --vms "$conf/vms.json"
for group in "$conf"/objects/groups/*; do
  for id in $(sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' "$group"); do
    start "$id" "$bin/standin" member --group "$group" --id "$id" --connections 60 --control-offset "$control_shift"
  done
done
await ctl profile list
id=$(ctl --actor aoife --output json profile draft --reason first examples/demo/profiles.ini | sed -n 's/.*"id": *"\([^"]*\)".*/\1/p')
{
  ctl --actor brendan profile review --reason "read it" "$id"
  ctl --actor aoife profile publish --reason first "$id"
} >"$work/ctl.log"
for ini in "$conf"/proxy*.ini; do
  start "$(basename "$ini" .ini)" "$bin/endivemoor" serve "$ini"
done
"$bin/endivemoor-load" await --admins "$admins"
check

case "$mode" in
spread)
  "$bin/endivemoor-load" spread --admins "$admins" --platform "$platform" --profiles examples/demo/profiles.ini --outage "$@"
  # The store stays down. Every third daemon is killed and restarts without any state.
  generation=$(ctl --daemon "http://$admin" --output json fleet status | sed -n 's/^ *"generation": *\([0-9]*\).*/\1/p' | sort -n | tail -1)
  again=()
  for ini in "$conf"/proxy*.ini; do
    name=$(basename "$ini" .ini)
    [ $((10#${name#proxyp} % 3)) = 1 ] || continue
    kill -KILL "${pids[$name]}"
    wait "${pids[$name]}" 2>/dev/null || true
    again+=("$name")
  done
  for name in "${again[@]}"; do start "$name" "$bin/endivemoor" serve "$conf/$name.ini"; done
  echo "${#again[@]} of $daemons daemons killed and started again while the store is down"
  "$bin/endivemoor-load" await --admins "$(for name in "${again[@]}"; do sed -n "s/^admin = //p" "$conf/$name.ini"; done | paste -sd,)" --generation "$generation"
  ;;
control)
  "$bin/endivemoor-load" control --admins "$admins" --groups "$groups" "$@"
  ;;
esac
check
