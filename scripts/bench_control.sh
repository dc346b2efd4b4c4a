#!/usr/bin/env bash
# Measures how long manifests take to be accepted and in force on all instances, the resources used
# for a change, and the start-up time of a control replica.
#
# Usage: bench_control.sh [ENTRIES] [CHANGES]
set -euo pipefail

entries=${1:-20}
changes=${2:-50}
base=${BASE_PORT:-26000}
folder=$(mktemp -d)
trap 'scripts/stop_fleet.sh "$folder" >/dev/null || true; rm -rf "$folder"' EXIT

scripts/start_fleet.sh "$folder" "$entries" "$base" 180 >/dev/null
sleep 4
.venv/bin/python scripts/bench_control.py "$folder" "$entries" "$base" "$changes"
.venv/bin/python scripts/bench_control.py start-up
