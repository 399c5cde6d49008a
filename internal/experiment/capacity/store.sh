#!/usr/bin/env bash
# Measures the calls to the store per second and purpose of idle daemons by their
# number, over twenty seconds for each number. Run it from the root after
# `make build`. It uses the ports of examples/demo and stops the processes that
# it started.
set -euo pipefail
span=20
mkdir -p out

calls() { # example: purpose and sum over all daemons
  sed -n 's/^admin *= *//p' "examples/$1"/proxy*.ini | while read -r admin; do
    curl -s "http://$admin/metrics"
  done | sed -n 's/^endivemoor_platform_calls_total{purpose="\([a-z]*\)".*} \(.*\)/\1 \2/p' |
    awk '{ n[$1] += $2 } END { for (p in n) print p, n[p] }' | sort
}

for vms in 3 9 27; do
  example="vms-$vms"
  bin/endivemoor-measure example --vms "$vms" --to "examples/$example"
  examples/run.sh "$example" stay >"out/$example.log" 2>&1 &
  run=$!
  until grep -q logs: "out/$example.log"; do
    kill -0 "$run" 2>/dev/null || { cat "out/$example.log" >&2; exit 1; }
    sleep 0.2
  done
  sleep 10
  calls "$example" >out/calls-before
  sleep "$span"
  calls "$example" >out/calls-after
  echo "daemons=$vms"
  join -a 2 out/calls-before out/calls-after | awk -v span="$span" '
    { rate = (NF == 3 ? $3 - $2 : $2) / span; sum += rate; printf "  %s %.2f/s\n", $1, rate }
    END { printf "  all %.2f/s\n", sum }'
  logs=$(sed -n 's/.*logs: //p' "out/$example.log")
  for file in "$logs"/*.pid; do kill "$(cat "$file")" 2>/dev/null || true; done
  wait "$run" 2>/dev/null || true
  rm -r "examples/$example"
done
