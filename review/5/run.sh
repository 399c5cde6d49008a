#!/usr/bin/env bash
cd "$(dirname "$0")" && exec ../run-2.sh replaced .
