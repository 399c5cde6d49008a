#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../../.. || exit 2
review/build.sh >&2 || exit 2
exec review/bin/standin -case replica-restarts -daemon target/endivemoor -record "$record"
