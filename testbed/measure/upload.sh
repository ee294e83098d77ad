#!/usr/bin/env bash
# Measures the peak memory of one daemon that forwards uploads of 100 MB: one upload,
# eight at once, and each of these to a server that is frozen for five seconds during
# the upload.
#
# Usage: upload.sh [ROUNDS [BYTES]]   (3 rounds of 100000000 bytes)
# Prints the machine and CSV. Each row is measured with a new daemon, which forwards
# all uploads of the row.

source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
rounds=${1:-3}
bytes=${2:-100000000}

# upload COUNT: sends COUNT uploads through vm-1 at the same time.
upload() {
    "$BIN/standin-caller" --direct "$(caller_address 1)" --requests "$1" --concurrency "$1" \
        --attempts 1 --method POST --path /catalogues/1 --body-bytes "$bytes" \
        --deadline-ms 120000 --output json
}

# measure CASE COUNT FREEZE_S: prints the CSV row of a case with COUNT uploads and a
# server that is frozen for FREEZE_S seconds (0: not frozen).
measure() {
    start_platform
    start_server orodha-1 1 16
    start_vm 1 kariakoo 2
    roll_out "$WORK/bundle.yaml"
    wait_for_version 1
    sleep 1
    local pid=${PID_OF[vm-1]} server=${PID_OF[orodha-1]}
    local before_kib after_kib frozen_kib=0 report answered
    before_kib=$(status_field "$pid" VmHWM)
    upload "$2" >"$WORK/report.json" &
    local caller=$!
    if [ "$3" -gt 0 ]; then
        # The caller computes the digest of the body before it sends the body.
        wait_until_reading "$pid" "$before_kib"
        kill -STOP "$server"
        sleep "$3"
        frozen_kib=$(status_field "$pid" VmRSS)
        kill -CONT "$server"
    fi
    wait "$caller" || true
    after_kib=$(status_field "$pid" VmHWM)
    report=$(cat "$WORK/report.json")
    answered=$(jq '.requests.answered // 0' <<<"$report")
    echo "$1,$2,$answered,$before_kib,$after_kib,$((after_kib - before_kib)),$frozen_kib,$(
        jq '.elapsed_ms' <<<"$report"
    ),$(jq --compact-output '.reasons' <<<"$report")"
    stop_fleet
}

# wait_until_reading PID BEFORE_KIB: waits until the daemon forwards an upload.
wait_until_reading() {
    local tries=0
    until [ "$(curl --silent "http://$(operator_address 1)/status" | jq '.in_flight_requests')" -gt 0 ]; do
        tries=$((tries + 1))
        [ "$tries" -lt 500 ] || return 1
        sleep 0.01
    done
}

build
describe_machine
cat >"$WORK/bundle.yaml" <<YAML
services:
  orodha:
    deadline_ms: 120000
    idempotent: true
    floor_servers: 1
    max_body_bytes: 1000000000
    servers:
      orodha-1: {address: "$(server_address 1)", availability_zone: kariakoo, region: pwani, slot_count: 16}
routes:
  - {path_prefix: /catalogues, service: orodha}
YAML
echo "case,uploads,answered,peak_before_kib,peak_after_kib,added_kib,resident_while_frozen_kib,elapsed_ms,reasons"
for _ in $(seq 1 "$rounds"); do
    measure one 1 0
    measure eight 8 0
    measure one-frozen-server 1 5
    measure eight-frozen-server 8 5
done
describe_machine
