#!/usr/bin/env bash
# Measures the cost of control traffic for an idle daemon, by the number of daemons:
# processor time, resident memory and network bytes.
#
# Usage: control-cost.sh [COUNT…]   (4 8 16 32)
# Prints the machine, CSV and the slopes. The bytes are those sent on open connections
# of the fleet's ports, as reported by the operating system for each socket, plus the
# datagrams counted by the daemons. Connections that end within the interval are not
# included.

source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
interval_s=20
memory_limit_kib=$((8 * 1024 * 1024))

build
counts=("$@")
[ "${#counts[@]}" -gt 0 ] || counts=(4 8 16 32)

# cpu_ticks COUNT: prints the processor time of all daemons, in clock ticks.
cpu_ticks() {
    local number
    for number in $(seq 1 "$1"); do
        sed 's/^.*) //' "/proc/${PID_OF[vm-$number]}/stat"
    done | awk '{ ticks += $12 + $13 } END { print ticks }'
}

# resident_kib COUNT: prints the resident memory of all daemons, in KiB.
resident_kib() {
    local number
    for number in $(seq 1 "$1"); do
        status_field "${PID_OF[vm-$number]}" VmRSS
    done | awk '{ kib += $1 } END { print kib }'
}

# carried_bytes COUNT: prints the bytes sent in the fleet's connections and datagrams.
carried_bytes() {
    local last_port=$((FIRST_PORT + 499)) number
    {
        ss --tcp --info --no-header state established \
            "( sport >= :$FIRST_PORT and sport <= :$last_port ) or ( dport >= :$FIRST_PORT and dport <= :$last_port )" |
            grep -oE 'bytes_sent:[0-9]+' | cut -d: -f2
        for number in $(seq 1 "$1"); do
            curl --silent --max-time 2 "http://$(operator_address "$number")/counters" |
                grep -oE '"membership.bytes-out":[0-9]+' | cut -d: -f2
        done
    } | awk '{ bytes += $1 } END { print bytes + 0 }'
}

# platform_bytes: prints the bytes sent and received on the platform's open
# connections.
platform_bytes() {
    ss --tcp --info --no-header state established "sport = :$FIRST_PORT" |
        grep -oE 'bytes_(sent|received):[0-9]+' |
        awk -F: '{ bytes += $2 } END { print bytes + 0 }'
}

# measure COUNT: prints a CSV row for a fleet of COUNT daemons.
measure() {
    local count=$1 number zones=(kariakoo mbezi)
    start_platform
    start_server bei-1 1 6
    for number in $(seq 1 "$count"); do
        start_vm "$number" "${zones[$((number % 2))]}" 1
    done
    roll_out "$WORK/bundle.yaml"
    wait_for_version "$count"
    sleep 10
    local ticks bytes platform kib
    ticks=$(cpu_ticks "$count")
    bytes=$(carried_bytes "$count")
    platform=$(platform_bytes)
    sleep "$interval_s"
    ticks=$(($(cpu_ticks "$count") - ticks))
    bytes=$(($(carried_bytes "$count") - bytes))
    platform=$(($(platform_bytes) - platform))
    kib=$(resident_kib "$count")
    stop_fleet
    awk -v count="$count" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v bytes="$bytes" \
        -v platform="$platform" -v kib="$kib" -v s="$interval_s" 'BEGIN {
            printf "%d,%.3f,%.0f,%.0f,%.0f\n", count, 100 * ticks / hz / s / count, \
                kib / count, bytes / s / count, platform / s / count
        }'
    if [ "$kib" -gt "$memory_limit_kib" ]; then
        echo "stopped: the daemons use $kib KiB, limit $memory_limit_kib KiB" >&2
        exit 1
    fi
}

cat >"$WORK/bundle.yaml" <<YAML
services:
  bei:
    deadline_ms: 500
    idempotent: true
    floor_servers: 1
    servers:
      bei-1: {address: "$(server_address 1)", availability_zone: kariakoo, region: pwani, slot_count: 6}
routes:
  - {path_prefix: /prices, service: bei}
YAML
describe_machine
echo "daemons,core_percent_each,resident_kib_each,carried_bytes_per_s_each,platform_bytes_per_s_each" |
    tee "$WORK/rows.csv"
for count in "${counts[@]}"; do
    measure "$count" | tee --append "$WORK/rows.csv"
done
awk -F, 'NR > 1 {
        n++; x += $1; xx += $1 * $1
        for (i = 2; i <= 5; i++) { y[i] += $i; xy[i] += $1 * $i }
    }
    END {
        split("daemons core_percent resident_kib carried_bytes_per_s platform_bytes_per_s", name, " ")
        spread = n * xx - x * x
        for (i = 2; i <= 5 && spread > 0; i++) {
            slope = (n * xy[i] - x * y[i]) / spread
            printf "slope: %s each = %.4f + %.6f * daemons\n", name[i], (y[i] - slope * x) / n, slope
        }
    }' "$WORK/rows.csv"
describe_machine
