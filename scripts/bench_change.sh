#!/usr/bin/env bash
# Measures the effect of manifest changes on traffic: replays one trace without changes, then while
# manifests are submitted one after the other, about two a second.
#
# Usage: bench_change.sh [ENTRIES] [RATE] [DURATION_S]
set -euo pipefail

program=${PROGRAM:-.venv/bin/coltsfootrill}
entries=${1:-8}
rate=${2:-200}
duration_s=${3:-15}
base=${BASE_PORT:-28200}
folder=$(mktemp -d)
trap 'scripts/stop_fleet.sh "$folder" >/dev/null || true; rm -rf "$folder"' EXIT

scripts/start_fleet.sh "$folder" "$entries" "$base" 180 >/dev/null
sleep 3
callers=()
for n in $(seq 1 "$entries"); do callers+=(--callers "127.0.0.1:$((base + 200 + n))"); done
fakes=()
for n in 1 2 3; do fakes+=(--fakes "127.0.0.1:$((base + 20 + n))"); done
"$program" make-trace "$folder/trace.jsonl" --workload heraldic --seed 9 \
    --duration-s "$duration_s" --rate "$rate" --no-faults
version=1
for round in 1 2; do
    echo "== round $round: no changes"
    "$program" replay "$folder/trace.jsonl" "${callers[@]}" "${fakes[@]}" | grep -E 'latency ms, all|outcome'
    echo "== round $round: continuous changes"
    "$program" replay "$folder/trace.jsonl" "${callers[@]}" "${fakes[@]}" >"$folder/replay.txt" &
    replay=$!
    first=$version
    while kill -0 "$replay" 2>/dev/null; do
        version=$((version + 1))
        "$program" make-manifest "$folder/next.json" --version "$version"
        "$program" manifest submit "$folder/next.json" --at "127.0.0.1:$((base + 12))" \
            --token-file "$folder/operator.token" >/dev/null
    done
    wait "$replay" || true
    grep -E 'latency ms, all|outcome' "$folder/replay.txt"
    echo "$((version - first)) changes"
done
