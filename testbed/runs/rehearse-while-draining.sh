#!/usr/bin/env bash
# Schedules a rehearsal of the loss of two of five order servers while two others
# drain. The floor of three must be kept.
source "$(dirname "$0")/common.sh"

# at_work FROM TO: prints the number of order servers that started runs between the
# two times.
at_work() {
    local name count=0
    for name in agizo-1 agizo-2 agizo-3 agizo-4 agizo-5; do
        if http "http://${SERVER_ADDRESSES[$name]}/control/runs" |
            grep -o '"started_unix_ms":[0-9]*' | cut -d: -f2 |
            awk -v from="$1" -v to="$2" '$1 >= from && $1 < to { found = 1 }
                END { exit !found }'; then
            count=$((count + 1))
        fi
    done
    echo "$count"
}

start_fleet 4
call_orders orders-pwani 14 --requests 300 --concurrency 8 --rate-per-s 40
# Servers receive requests from VMs of their own region.
NEAR_VM=3
call_orders orders-kaskazini 14 --requests 300 --concurrency 8 --rate-per-s 40
sleep 1
for name in agizo-4 agizo-5; do
    http -X POST "http://${SERVER_ADDRESSES[$name]}/control/drain" >/dev/null
done
sleep 2
tool rehearsal schedule --service agizo --servers agizo-1,agizo-2 --duration-ms 3000 \
    --id while-draining --operator asha
scheduled_ms=$(date +%s%3N)
end_of_caller orders-pwani
end_of_caller orders-kaskazini
within=$(at_work "$((scheduled_ms + 1000))" "$((scheduled_ms + 2800))")
check "the floor is kept: $within of 5 servers in use, at least 3 required" test "$within" -ge 3
check "every order was answered in pwani" all_answered orders-pwani 300
check "every order was answered in kaskazini" all_answered orders-kaskazini 300
check "no daemon panicked" no_panic
final_check
verdict
