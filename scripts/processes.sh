# Shell functions that start and stop the processes of an example. Set run_dir and build before sourcing this file.

mkdir -p "$run_dir"

# start NAME PROGRAM ARGUMENTS...: runs a program in the background and records its process id.
start() {
    local name=$1
    shift
    "$@" >"$run_dir/$name.out" 2>&1 &
    echo $! >"$run_dir/$name.pid"
}

# stop_all: sends SIGTERM to every recorded process, waits up to 15 s for each, and kills those that still run.
stop_all() {
    local file pid
    for file in "$run_dir"/*.pid; do
        [ -e "$file" ] || continue
        kill -TERM "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$run_dir"/*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        for _ in $(seq 150); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null || true
        rm -f "$file"
    done
}

# wait_for_url URL SECONDS: waits until URL answers with a success status; fails after SECONDS.
wait_for_url() {
    local i
    for i in $(seq $(($2 * 10))); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1 within $2 s; see $run_dir/*.out" >&2
    return 1
}

# write_instance N REGION FAILURE_DOMAIN WORKERS PLATFORM_URL: writes the settings of entry instance N, which listens on 127.0.1.N.
write_instance() {
    cat >"$run_dir/entry$1.yaml" <<SETTINGS
instance: entry$1
region: $2
failureDomain: $3
callerAddress: 127.0.1.$1:8000
operatorAddress: 127.0.1.$1:8001
controlAddress: 127.0.1.$1:8002
forwardAddress: 127.0.1.$1:8010
platformUrl: $5
workers: $4
logLevel: info
SETTINGS
}

# list_entry N REGION FAILURE_DOMAIN: prints the row of entry instance N in the platform's instance list.
list_entry() {
    printf '{"id":"entry%s","role":"entry","region":"%s","failureDomain":"%s","state":"live",' "$1" "$2" "$3"
    printf '"controlAddress":"127.0.1.%s:8002","operatorAddress":"127.0.1.%s:8001","forwardAddress":"127.0.1.%s:8010"}' "$1" "$1" "$1"
}
