#!/usr/bin/env bash
# Starts or stops the processes of the walk-through in README.md: a platform stand-in, two entry instances and three
# backend servers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
run_dir=run/walkthrough
. scripts/processes.sh
platform=127.0.0.1:7000

run() {
    echo "+ ${*:2}"
    start "$@"
}

case "${1:-}" in
start)
    stop_all
    printf '[%s,%s]\n' "$(list_entry 1 western western-a)" "$(list_entry 2 western western-b)" \
        >"$run_dir/instances.json"
    run platform "$build/platform-standin" --listen "$platform" --instances "$run_dir/instances.json"
    for i in 1 2 3; do
        run "backend$i" "$build/backend-standin" --listen "127.0.2.$i:9000" --id "planner$i" --slots 6 \
            --record "$run_dir/backend$i.jsonl"
    done
    write_instance 1 western western-a 1 "http://$platform"
    write_instance 2 western western-b 1 "http://$platform"
    for i in 1 2; do
        run "entry$i" "$build/jasminespread-entry" --settings "$run_dir/entry$i.yaml"
    done
    wait_for_url http://127.0.1.1:8001/healthz 10
    wait_for_url http://127.0.1.2:8001/healthz 10
    ;;
stop)
    stop_all
    ;;
*)
    echo "usage: scripts/walkthrough.sh start|stop" >&2
    exit 2
    ;;
esac
