#!/usr/bin/env bash
# Measures the time that daemons add to requests, compared with direct requests to
# the same backend server in the same run.
#
# Usage: latency.sh [ROUNDS [REQUESTS]]   (15 rounds of 200 requests per case)
# Prints the machine, CSV (one line per cell and round) and a text table.

source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
rounds=${1:-15}
requests=${2:-200}

build
describe_machine
start_platform
start_server bei-1 1 32
start_server agizo-1 2 32
cat >"$WORK/bundle.yaml" <<YAML
services:
  bei:
    deadline_ms: 2000
    idempotent: true
    floor_servers: 1
    servers:
      bei-1: {address: "$(server_address 1)", availability_zone: kariakoo, region: pwani, slot_count: 32}
  agizo:
    deadline_ms: 2000
    idempotent: false
    priority: critical
    floor_servers: 1
    servers:
      agizo-1: {address: "$(server_address 2)", availability_zone: kariakoo, region: pwani, slot_count: 32}
routes:
  - {path_prefix: /prices, service: bei}
  - {path_prefix: /orders, service: agizo}
default_organisation_limit: {burst_requests: 1000000, in_flight_requests: 1000, rate_per_s: 1000000}
YAML
# vm-1 is the home of the keys, vm-2 its witness, vm-3 the other entry VM.
start_vm 1 kariakoo 2
start_vm 2 mbezi 2
start_vm 3 kariakoo 2
roll_out "$WORK/bundle.yaml"
wait_for_version 3
sleep 3
"$BIN/measure-latency" --home "$(caller_address 1)" --other "$(caller_address 3)" \
    --lookup-server "$(server_address 1)" --order-server "$(server_address 2)" \
    --rounds "$rounds" --requests "$requests" \
    --work-ms 0 --work-ms 5 --concurrency 1 --concurrency 8
# cpu_us NAME…: prints the processor time used by the processes, in microseconds.
cpu_us() {
    local name
    for name in "$@"; do
        sed 's/^.*) //' "/proc/${PID_OF[$name]}/stat"
    done | awk -v hz="$(getconf CLK_TCK)" '{ ticks += $12 + $13 } END { print 1000000 * ticks / hz }'
}

# cost CASE REQUESTS COMMAND…: runs a command that sends REQUESTS requests and
# prints the daemons' processor time per request, in microseconds.
cost() {
    local what=$1 count=$2 before after
    shift 2
    before=$(cpu_us vm-1 vm-2 vm-3)
    "$@" >"$WORK/cost.out"
    after=$(cpu_us vm-1 vm-2 vm-3)
    echo "$what,$count,$(((after - before) / count))"
}

echo "request,requests,daemons_cpu_us_per_request"
cost idle-for-two-seconds 1 sleep 2
cost lookup 20000 "$BIN/standin-caller" --direct "$(caller_address 1)" --path /prices/1 \
    --requests 20000 --concurrency 8
cost keyed-order-at-its-home 20000 "$BIN/standin-caller" --entry "$(caller_address 1)" \
    --path /orders/1 --method POST --keyed --body-bytes 400 --requests 20000 --concurrency 8
cost entry-point-answer 20000 curl --silent --output /dev/null \
    "http://$(caller_address 1)/.foxtailwinch/entry-points?[1-20000]"
for number in 1 3; do
    echo "counters of vm-$number:" \
        "$(curl --silent "http://$(operator_address "$number")/counters")"
done
describe_machine
