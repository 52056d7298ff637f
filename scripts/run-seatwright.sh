#!/usr/bin/env bash
# Runs the Seatwright deployment on loopback: builds the programs, starts a platform stand-in, nine entry instances and
# the 36 backend servers of the configuration sheet, loads the sheet, sends requests to all three services, and prints
# the results and the burn report. All processes are stopped at the end.
# Usage: scripts/run-seatwright.sh [SECONDS [REQUESTS_PER_SECOND]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
rate=${2:-900}
build=${BUILD_DIR:-build}
run_dir=run/seatwright
sheet=examples/seatwright.yaml
platform=127.0.0.1:7000

if [ -z "${BUILD_DIR:-}" ]; then
    scripts/packages.sh
    cmake -S . -B "$build" -G Ninja >/dev/null
    cmake --build "$build"
fi
. scripts/processes.sh
stop_all
trap stop_all EXIT

loads=()
regions=(western central southern)
rows=()
for i in 1 2 3 4 5 6 7 8 9; do
    region=${regions[$(((i - 1) % 3))]}
    domain=$region-$([ "$i" -le 6 ] && [ "$i" -gt 3 ] && echo b || echo a)
    write_instance "$i" "$region" "$domain" 1 "http://$platform"
    rows+=("$(list_entry "$i" "$region" "$domain")")
done
(IFS=,; printf '[%s]\n' "${rows[*]}") >"$run_dir/instances.json"
start platform "$build/platform-standin" --listen "$platform" --instances "$run_dir/instances.json"

# Each server of the sheet is one line: - {id: ID, service: SERVICE, ..., address: 'IP:PORT'}
while read -r id address; do
    start "$id" "$build/backend-standin" --listen "$address" --id "$id" --slots 6 --record "$run_dir/$id.jsonl"
done < <(sed -nE "s/^ *- \{id: ([^,]+),.*address: '([^']+)'.*/\1 \2/p" "$sheet")
for i in 1 2 3 4 5 6 7 8 9; do
    start "entry$i" "$build/jasminespread-entry" --settings "$run_dir/entry$i.yaml"
done
for i in 1 2 3 4 5 6 7 8 9; do
    wait_for_url "http://127.0.1.$i:8001/healthz" 10
done

"$build/jasminespreadctl" load "$sheet" --base 0 --server 127.0.1.1:8001
sleep 3
targets=()
servers=()
for i in 1 2 3 4 5 6 7 8 9; do
    targets+=(--target "127.0.1.$i:8000")
    servers+=(--server "127.0.1.$i:8001")
done
for service in refit-planner fabric-ledger bay-desk; do
    "$build/jasminespread-load" "${targets[@]}" --service "$service" --rate $((rate / 3)) --seconds "$seconds" \
        --connections 36 --threads 1 >"$run_dir/load-$service.out" &
    loads+=($!)
done
wait "${loads[@]}"
for service in refit-planner fabric-ledger bay-desk; do
    echo "== $service"
    cat "$run_dir/load-$service.out"
done
"$build/jasminespreadctl" report "${servers[@]}"
