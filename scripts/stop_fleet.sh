#!/usr/bin/env bash
# Stops the processes that start_fleet.sh started gracefully; kills those still running after 20 s.
#
# Usage: stop_fleet.sh FOLDER
set -uo pipefail

folder=$1
mapfile -t pids < <(cut -d' ' -f1 "$folder/pids")
kill -TERM "${pids[@]}" 2>/dev/null
for _ in $(seq 1 200); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=$((alive + 1)); done
    [ "$alive" -eq 0 ] && exit 0
    sleep 0.1
done
echo "killing $alive processes that did not stop within 20 s" >&2
kill -KILL "${pids[@]}" 2>/dev/null
exit 1
