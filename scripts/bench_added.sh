#!/usr/bin/env bash
# Measures the latency that an entry instance and a minimal forwarder add to a direct call. Calls
# are interleaved.
#
# Usage: bench_added.sh [RATE ...]
set -euo pipefail

program=${PROGRAM:-.venv/bin/coltsfootrill}
base=${BASE_PORT:-22000}
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(20 100 300)
folder=$(mktemp -d)
trap 'scripts/stop_fleet.sh "$folder" >/dev/null || true; rm -rf "$folder"' EXIT

PROGRAM=$program scripts/start_fleet.sh "$folder" 10 "$base" 300 >/dev/null
upstreams=()
for n in $(seq 0 8); do upstreams+=(--upstream "127.0.0.1:$((base + 500 + n))"); done
"$program" baseline-forwarder --listen "127.0.0.1:$((base + 30))" "${upstreams[@]}" &
echo "$! baseline" >>"$folder/pids"
sleep 2
fakes=()
for n in 1 2 3; do fakes+=(--fakes "127.0.0.1:$((base + 20 + n))"); done
for rate in "${rates[@]}"; do
    echo "== $rate requests a second to each target"
    "$program" measure-added --callers "127.0.0.1:$((base + 201))" \
        --callers "127.0.0.1:$((base + 30))" "${fakes[@]}" --requests $((rate * 8)) --rate "$rate"
done
