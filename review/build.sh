#!/usr/bin/env bash
# Builds the system with the build command of the deploy file, and the program of the review that starts
# it with stand-ins. Neither needs a network once the modules of the system are there.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build"
go build -o review/bin/standin ./review/standin
