# Functions that start and stop a small fleet of stand-ins and daemons on 127.0.0.1.
# Sourced by the measurement scripts. Uses 500 ports from FIRST_PORT (24000).

set -euo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BIN=${BIN:-$ROOT/target/release}
FIRST_PORT=${FIRST_PORT:-24000}
PLATFORM=127.0.0.1:$FIRST_PORT
WORK=$(mktemp -d)
PIDS=()

declare -A PID_OF

# Kills the processes that this script started, by their ids.
stop_fleet() {
    local pid
    for pid in "${PIDS[@]+"${PIDS[@]}"}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]+"${PIDS[@]}"}"; do
        while kill -0 "$pid" 2>/dev/null; do
            sleep 0.05
        done
    done
    PIDS=()
}

end_measurement() {
    stop_fleet
    rm -rf "$WORK"
}
trap end_measurement EXIT

build() {
    cargo build --release --workspace --locked --manifest-path "$ROOT/Cargo.toml"
}

# start NAME COMMAND…: starts a process in the background and writes its output to
# NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PID_OF[$name]=$!
    PIDS+=($!)
    disown "$!"
}

# wait_for ADDRESS PATH: waits until an HTTP server responds, at most 100 tries with
# 0.1 s between them.
wait_for() {
    local tries=0
    until curl --silent --output /dev/null --max-time 1 "http://$1$2"; do
        tries=$((tries + 1))
        if [ "$tries" -ge 100 ]; then
            echo "no HTTP server responds on $1" >&2
            return 1
        fi
        sleep 0.1
    done
}

start_platform() {
    start platform "$BIN/standin-platform" --listen "$PLATFORM"
    wait_for "$PLATFORM" /vms
}

# start_server NAME NUMBER SLOTS: starts a backend server on port FIRST_PORT + 10 +
# NUMBER.
start_server() {
    local address=127.0.0.1:$((FIRST_PORT + 10 + $2))
    start "$1" "$BIN/standin-backend" --listen "$address" --name "$1" --slots "$3" --work-ms 0
    wait_for "$address" /health
}

server_address() {
    echo "127.0.0.1:$((FIRST_PORT + 10 + $1))"
}

caller_address() {
    echo "127.0.0.1:$((FIRST_PORT + 100 + $1))"
}

peer_address() {
    echo "127.0.0.1:$((FIRST_PORT + 200 + $1))"
}

operator_address() {
    echo "127.0.0.1:$((FIRST_PORT + 300 + $1))"
}

# list_vm NUMBER ZONE: adds a VM to the platform's list.
list_vm() {
    curl --silent --output /dev/null --request PUT "http://$PLATFORM/vms/vm-$1" --data \
        "{\"id\":\"vm-$1\",\"peer_address\":\"$(peer_address "$1")\",\
\"caller_address\":\"$(caller_address "$1")\",\"availability_zone\":\"$2\",\
\"region\":\"pwani\",\"leaving\":false}"
}

# start_vm NUMBER ZONE TRAFFIC_THREADS: lists a VM and starts its daemon.
start_vm() {
    list_vm "$1" "$2"
    cat >"$WORK/vm-$1.yaml" <<YAML
vm_id: vm-$1
region: pwani
availability_zone: $2
caller_address: $(caller_address "$1")
peer_address: $(peer_address "$1")
operator_address: $(operator_address "$1")
log_service_address: $PLATFORM
traffic_thread_count: $3
YAML
    start "vm-$1" "$BIN/foxtailwinchd" --settings "$WORK/vm-$1.yaml"
}

# roll_out FILE: publishes, signs off and rolls out the first bundle as v1. Does not
# wait for the VMs; see wait_for_version.
roll_out() {
    "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle publish "$1" \
        --version v1 --base none --operator ana >>"$WORK/tool.log"
    "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle sign-off v1 \
        --operator ben >>"$WORK/tool.log"
    "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle roll-out v1 \
        --operator ana --wait-ms 0 >>"$WORK/tool.log" 2>&1 || true
}

# wait_for_version VM_COUNT: waits until v1 is in force on all VMs, at most 600 tries
# with 0.1 s between them.
wait_for_version() {
    local number tries=0
    for number in $(seq 1 "$1"); do
        until curl --silent --max-time 1 "http://$(operator_address "$number")/status" |
            jq --exit-status '.configuration_version == "v1"' >/dev/null 2>&1; do
            tries=$((tries + 1))
            if [ "$tries" -ge 600 ]; then
                echo "v1 is not in force on vm-$number" >&2
                cat "$WORK/tool.log" "$WORK/vm-$number.log" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# status_field PID FIELD: prints a field of /proc/PID/status, in KiB.
status_field() {
    awk -v field="$2:" '$1 == field { print $2 }' "/proc/$1/status"
}

describe_machine() {
    local model
    model=$(awk -F': ' '/^model name/ { print $2; exit }' /proc/cpuinfo)
    echo "machine: $(nproc) cores ($model), Linux $(uname -r | cut -d- -f1)," \
        "load average $(cut -d' ' -f1-3 /proc/loadavg)"
    echo "commit: $(git -C "$ROOT" rev-parse --short HEAD)"
}
