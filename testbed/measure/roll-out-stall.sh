#!/usr/bin/env bash
# Measures the effect of a roll-out on the latency of keyed orders. Sends orders at a
# steady rate, once without a roll-out and once during the roll-out of a bundle with
# SERVERS servers.
#
# Usage: roll-out-stall.sh [SERVERS]   (7500, a bundle near the log's limit of 1 MiB
# per record)
# Prints the machine and CSV.

source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
servers=${1:-7500}

# bundle COUNT: prints a bundle with COUNT additional servers that no route leads to.
bundle() {
    cat <<YAML
services:
  agizo:
    idempotent: false
    floor_servers: 1
    servers:
      agizo-1: {address: "$(server_address 1)", availability_zone: kariakoo, region: pwani, slot_count: 32}
YAML
    if [ "$1" -gt 0 ]; then
        echo "  unused:"
        echo "    floor_servers: 1"
        echo "    servers:"
        seq 1 "$1" | awk '{
            printf "      s-%d: {address: \"10.0.%d.%d:80\", availability_zone: kariakoo, region: pwani, slot_count: 6}\n",
                $1, $1 / 250, $1 % 250 + 1
        }'
    fi
    cat <<YAML
routes:
  - {path_prefix: /orders, service: agizo}
default_organisation_limit: {burst_requests: 1000000, in_flight_requests: 1000, rate_per_s: 1000000}
YAML
}

# measure CASE ROLL_OUT: prints the CSV row of a case; ROLL_OUT is yes or no.
measure() {
    start_platform
    start_server agizo-1 1 32
    start_vm 1 kariakoo 2
    start_vm 2 mbezi 2
    roll_out "$WORK/small.yaml"
    wait_for_version 2
    sleep 3
    "$BIN/standin-caller" --entry "$(caller_address 1)" --requests 1200 --rate-per-s 100 \
        --concurrency 200 --attempts 1 --method POST --keyed --path /orders/1 \
        --body-bytes 400 --output json >"$WORK/report.json" &
    local caller=$!
    sleep 3
    if [ "$2" = yes ]; then
        "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle publish "$WORK/large.yaml" \
            --version v2 --operator ana >>"$WORK/tool.log"
        "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle sign-off v2 \
            --operator ben >>"$WORK/tool.log"
        "$BIN/foxtailwinch" --log "http://$PLATFORM" bundle roll-out v2 \
            --operator ana --vm "http://$(operator_address 1)" \
            --vm "http://$(operator_address 2)" >>"$WORK/tool.log"
    fi
    wait "$caller" || true
    jq --raw-output --arg case "$1" '[$case, .requests.answered // 0, .requests.refused // 0,
        .latency_p50_us, .latency_p99_us, .latency_max_us, (.reasons | tostring)] | @csv' \
        "$WORK/report.json"
    curl --silent "http://$(operator_address 1)/status" |
        jq --raw-output '"\(.configuration_version) is in force on vm-1"'
    stop_fleet
}

build
describe_machine
bundle 0 >"$WORK/small.yaml"
bundle "$servers" >"$WORK/large.yaml"
echo "large bundle: $(wc -c <"$WORK/large.yaml") bytes"
echo "case,answered,refused,p50_us,p99_us,max_us,reasons"
measure without-roll-out no
measure with-roll-out yes
describe_machine
