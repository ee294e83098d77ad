#!/usr/bin/env bash
# Drains two servers under load. No VM may send them new requests later than
# DRAIN_BOUND_MS after the drain.
source "$(dirname "$0")/common.sh"

DRAIN_BOUND_MS=5000

# Prints the number of requests that servers refused without running them, summed
# over all VMs. A drained server refuses every request, which is the only sign that
# a VM still sends requests to it. The callers are too few to fill a server's
# slots, so no request is refused for want of a slot.
turned_away() {
    local number
    for number in 1 2 3 4; do
        http "http://$(operator_address "$number")/counters"
        echo
    done | grep -oE '"(retry|refusal)\.server-(shed|draining)[^"]*":[0-9]+' |
        awk -F: '{ sum += $2 } END { print sum + 0 }'
}

# late_runs DRAINED_MS: succeeds if no drained server started a run later than the
# bound.
late_runs() {
    local limit_ms=$(($1 + DRAIN_BOUND_MS)) name started count=0
    for name in agizo-1 bei-1; do
        for started in $(http "http://${SERVER_ADDRESSES[$name]}/control/runs" |
            grep -o '"started_unix_ms":[0-9]*' | cut -d: -f2); do
            ((started > limit_ms)) && count=$((count + 1))
        done
    done
    echo "$count runs started later than $DRAIN_BOUND_MS ms after the drain"
    ((count == 0))
}

start_fleet 4
call_orders orders 28 --requests 300 --concurrency 5 --rate-per-s 25
call_lookups lookups 28 --requests 1200 --concurrency 5 --rate-per-s 100
sleep 2
say "drain agizo-1 and bei-1"
for name in agizo-1 bei-1; do
    http -X POST "http://${SERVER_ADDRESSES[$name]}/control/drain" >/dev/null
done
drained_ms=$(date +%s%3N)
before_drain=$(turned_away)
sleep "$((DRAIN_BOUND_MS / 1000))"
at_bound=$(turned_away)
end_of_caller orders
end_of_caller lookups
check "every order was answered" all_answered orders 300
check "every lookup was answered" all_answered lookups 1200
at_end=$(turned_away)
say "refused by servers: $before_drain just after the drain, $at_bound at the bound," \
    "$at_end at the end"
check "no request is sent to a drained server after the bound" test "$at_bound" = "$at_end"
check "no run starts on a drained server after the bound" late_runs "$drained_ms"
check "no daemon panicked" no_panic
final_check
verdict
