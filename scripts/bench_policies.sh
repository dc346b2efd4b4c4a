#!/usr/bin/env bash
# Compares choice policies on both workloads: tail latency and the cost of probes. Traces contain
# faults unless TRACE_OPTIONS has --no-faults.
#
# Usage: bench_policies.sh [ENTRIES] [RATE] [DURATION_S] [SEED]
# WORK_FACTOR lengthens the work of the fake upstreams, so that one load generator can saturate
# them.
set -euo pipefail

program=${PROGRAM:-.venv/bin/coltsfootrill}
entries=${1:-12}
rate=${2:-500}
duration_s=${3:-10}
seed=${4:-3}
base=${BASE_PORT:-25000}
export WORK_FACTOR=${WORK_FACTOR:-10}
folder=$(mktemp -d)
trap 'scripts/stop_fleet.sh "$folder/fleet" >/dev/null 2>&1 || true; rm -rf "$folder"' EXIT

callers=()
for n in $(seq 1 "$entries"); do callers+=(--callers "127.0.0.1:$((base + 200 + n))"); done
fakes=()
for n in 1 2 3; do fakes+=(--fakes "127.0.0.1:$((base + 20 + n))"); done
for workload in ${WORKLOADS:-heraldic rota}; do
    for policy in ${POLICIES:-round-robin random-of-two least-expected-wait}; do
        rm -rf "$folder/fleet"
        scripts/start_fleet.sh "$folder/fleet" "$entries" "$base" 120 "$policy" >/dev/null
        sleep 3
        "$program" make-trace "$folder/trace.jsonl" --workload "$workload" --seed "$seed" \
            --duration-s "$duration_s" --rate "$rate" ${TRACE_OPTIONS:-}
        echo "== $workload, $policy"
        "$program" replay "$folder/trace.jsonl" "${callers[@]}" "${fakes[@]}" || true
        scripts/stop_fleet.sh "$folder/fleet" || true
    done
done
