#!/usr/bin/env bash
# Demonstrates the main features end to end: a manifest, announced upstreams, mixed traffic, and
# graceful stops of upstreams and of an entry instance.
set -euo pipefail

program=${PROGRAM:-.venv/bin/coltsfootrill}
base=${BASE_PORT:-21000}
folder=$(mktemp -d)
trap 'scripts/stop_fleet.sh "$folder" || true; rm -rf "$folder"' EXIT

PROGRAM=$program scripts/start_fleet.sh "$folder" 2 "$base" 120
callers=(--callers "127.0.0.1:$((base + 201))")
both=("${callers[@]}" --callers "127.0.0.1:$((base + 202))")
fakes=()
for n in 1 2 3; do fakes+=(--fakes "127.0.0.1:$((base + 20 + n))"); done
operator=(--token-file "$folder/operator.token")
sleep 2

for workload in heraldic rota; do
    "$program" make-trace "$folder/$workload.jsonl" --workload "$workload" --seed 7 \
        --duration-s 5 --rate 60
done

# Each trace stops one upstream of each service while requests are in flight.
echo "== heraldic workload over two entry instances"
"$program" replay "$folder/heraldic.jsonl" "${both[@]}" "${fakes[@]}"

echo "== rota workload over one entry instance while the other stops"
second=$(awk '$2 == "e2" {print $1}' "$folder/pids")
"$program" replay "$folder/rota.jsonl" "${callers[@]}" "${fakes[@]}" &
replay=$!
sleep 1
kill -TERM "$second"
wait "$replay"
for _ in $(seq 1 100); do
    kill -0 "$second" 2>/dev/null || break
    sleep 0.1
done
grep 'entry stopped' "$folder/e2.log"

echo "== added latency"
"$program" measure-added "${callers[@]}" "${fakes[@]}" --requests 300

echo "== leaving upstreams, and their requests in flight"
"$program" upstreams --at "127.0.0.1:$((base + 101))" "${operator[@]}" | grep -E 'upstream |leaving'
echo "== audit trail of the control replicas"
"$program" audit --at "127.0.0.1:$((base + 12))" "${operator[@]}"
