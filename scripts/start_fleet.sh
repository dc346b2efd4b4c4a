#!/usr/bin/env bash
# Starts control replicas, entry instances and fake upstreams on loopback.
#
# Usage: start_fleet.sh FOLDER ENTRIES BASE_PORT DURATION_S [POLICY]
# Writes the process ids to FOLDER/pids and returns once version 1 of the manifest is in force on
# every entry instance. The variables WORK_FACTOR and COPIES are options of the fake upstreams.
set -euo pipefail

folder=$1
entries=$2
base=$3
duration_s=$4
policy=${5:-least-expected-wait}
program=${PROGRAM:-.venv/bin/coltsfootrill}

mkdir -p "$folder"
: >"$folder/pids"
printf 'operator-token-0123456789\n' >"$folder/operator.token"
printf 'announce-token-0123456789\n' >"$folder/announce.token"

replicas=""
for n in 1 2 3; do replicas="$replicas${replicas:+, }c$n=127.0.0.1:$((base + n))"; done

start() {
    name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    echo "$! $name" >>"$folder/pids"
}

common() {
    printf '[instance]\nid = %s\nzone = zone-%s\ndata = %s\n' "$1" "$2" "$folder/data/$1"
    printf '[tokens]\noperator_file = %s\n' "$folder/operator.token"
}

for n in 1 2 3; do
    {
        common "c$n" "$n"
        printf '[operators]\nlisten = 127.0.0.1:%s\n' $((base + 10 + n))
        printf '[control]\nlisten = 127.0.0.1:%s\nreplicas = %s\n' $((base + n)) "$replicas"
    } >"$folder/c$n.ini"
    start "c$n" "$program" control --settings "$folder/c$n.ini"
done

announce=()
for n in $(seq 1 "$entries"); do
    {
        common "e$n" $((n % 3 + 1))
        printf 'announcement_file = %s\n' "$folder/announce.token"
        printf '[operators]\nlisten = 127.0.0.1:%s\n' $((base + 100 + n))
        printf '[callers]\nlisten = 127.0.0.1:%s\nnotice_ms = 1000\n' $((base + 200 + n))
        printf '[announcements]\nlisten = 127.0.0.1:%s\n' $((base + 300 + n))
        printf '[peers]\nlisten = 127.0.0.1:%s\n' $((base + 400 + n))
        printf 'seeds = 127.0.0.1:%s, 127.0.0.1:%s\n' $((base + 401)) $((base + 402))
        printf '[control]\nreplicas = %s\n' "$replicas"
        printf '[balancer]\npolicy = %s\nseed = %s\n' "$policy" "$n"
    } >"$folder/e$n.ini"
    start "e$n" "$program" entry --settings "$folder/e$n.ini"
    announce+=(--announce-to "127.0.0.1:$((base + 300 + n))")
done

for n in 1 2 3; do
    start "fakes$n" "$program" fake-upstreams --zone "zone-$n" --share "$((n - 1))/3" \
        --control-port $((base + 20 + n)) --first-port $((base + 500)) \
        --token-file "$folder/announce.token" --duration-s "$duration_s" "${announce[@]}" \
        --work-factor "${WORK_FACTOR:-1}" --copies "${COPIES:-1}"
done

status=(--token-file "$folder/operator.token" --timeout-s 30)
for n in $(seq 1 "$entries"); do status+=(--at "127.0.0.1:$((base + 100 + n))"); done
"$program" make-manifest "$folder/manifest.json"
for _ in $(seq 1 50); do
    if "$program" manifest submit "$folder/manifest.json" --at "127.0.0.1:$((base + 11))" \
        --token-file "$folder/operator.token" --operator start-script 2>"$folder/submit.log"; then
        break
    fi
    sleep 0.2
done
"$program" manifest status "${status[@]}" --wait 1
