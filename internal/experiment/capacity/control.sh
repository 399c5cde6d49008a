#!/usr/bin/env bash
# Measures the control cost of an idle daemon by the number of groups: processor
# time and bytes on the wire, over ten seconds for each number. Run it from the
# root after `make build`. It uses the ports of examples/demo and stops the
# processes that it started.
set -euo pipefail
span=10
mkdir -p out

bytes() { # pid: "local|peer sent received" for each of its connections
  ss -tinp state established | awk -v pid="pid=$1," '
    /users/ { mine = index($0, pid) > 0; from = $3; to = $4; next }
    mine && /bytes_/ {
      s = 0; r = 0
      for (i = 1; i <= NF; i++) {
        if ($i ~ /^bytes_sent:/) { split($i, a, ":"); s = a[2] }
        if ($i ~ /^bytes_received:/) { split($i, a, ":"); r = a[2] }
      }
      print from "|" to, s, r
      mine = 0
    }'
}

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

for groups in 1 2 4 8; do
  example="groups-$groups"
  bin/endivemoor-measure example --groups "$groups" --to "examples/$example"
  examples/run.sh "$example" stay >"out/$example.log" 2>&1 &
  run=$!
  until grep -q logs: "out/$example.log"; do
    kill -0 "$run" 2>/dev/null || { cat "out/$example.log" >&2; exit 1; }
    sleep 0.2
  done
  sleep 5
  logs=$(sed -n 's/.*logs: //p' "out/$example.log")
  pid=$(cat "$logs/proxy1.pid")
  before=$(ticks "$pid")
  bytes "$pid" | sort >"out/bytes-before"
  sleep "$span"
  bytes "$pid" | sort >"out/bytes-after"
  after=$(ticks "$pid")
  echo "groups=$groups processor=$((after - before)) ms/s"
  join out/bytes-before out/bytes-after | awk -v span="$span" '
    { split($1, a, "|"); split(a[1], l, ":"); split(a[2], p, ":")
      kind = (p[2] >= 20411 && p[2] < 20600) ? "targets" : (p[2] ~ /744[0-9]/ || l[2] ~ /744[0-9]/) ? "peers" : "other"
      sent[kind] += $4 - $2; got[kind] += $5 - $3 }
    END { for (k in sent) printf "  %s sent %d B/s, received %d B/s\n", k, sent[k] / span, got[k] / span }'
  for file in "$logs"/*.pid; do kill "$(cat "$file")" 2>/dev/null || true; done
  wait "$run" 2>/dev/null || true
  rm -r "examples/$example"
done
