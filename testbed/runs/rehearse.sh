#!/usr/bin/env bash
# Rehearses the loss of one order server under load; the fleet must be unchanged
# after the rehearsal. Then schedules a rehearsal below the floor, which must be
# kept.
source "$(dirname "$0")/common.sh"

REHEARSAL_MS=4000

# runs_between FROM TO SERVER: prints the number of runs that a server started
# between the two times.
runs_between() {
    local started count=0
    for started in $(http "http://${SERVER_ADDRESSES[$3]}/control/runs" |
        grep -o '"started_unix_ms":[0-9]*' | cut -d: -f2); do
        ((started >= $1 && started < $2)) && count=$((count + 1))
    done
    echo "$count"
}

start_fleet 4
call_orders orders 28 --requests 360 --concurrency 5 --rate-per-s 30
sleep 2
tool rehearsal schedule --service agizo --servers agizo-1 --duration-ms "$REHEARSAL_MS" \
    --id loss --operator asha
scheduled_ms=$(date +%s%3N)
sleep 7
tool rehearsal list
tool rehearsal report loss | tee "$WORK/report.log"
end_of_caller orders
before=$(runs_between 0 "$scheduled_ms" agizo-1)
during=$(runs_between "$((scheduled_ms + 1500))" "$((scheduled_ms + REHEARSAL_MS - 500))" agizo-1)
after=$(runs_between "$((scheduled_ms + REHEARSAL_MS + 1500))" "$(date +%s%3N)" agizo-1)
say "runs of agizo-1: $before before the rehearsal, $during during it, $after after it"
check "agizo-1 ran requests before the rehearsal" test "$before" -gt 0
check "agizo-1 ran no request during the rehearsal" test "$during" = 0
check "agizo-1 ran requests after the rehearsal" test "$after" -gt 0
check "every order was answered" all_answered orders 360
check "the report shows no difference" grep -qi 'no difference\|as before\|as it was' "$WORK/report.log"
# at_work FROM TO: prints the number of order servers that started runs between the
# two times.
at_work() {
    local name count=0
    for name in agizo-1 agizo-2 agizo-3 agizo-4 agizo-5; do
        (($(runs_between "$1" "$2" "$name") > 0)) && count=$((count + 1))
    done
    echo "$count"
}

say "rehearsal with four of five servers; the floor is three"
call_orders orders-pwani 15 --requests 160 --concurrency 8 --rate-per-s 40
# Servers receive requests from VMs of their own region.
NEAR_VM=3
call_orders orders-kaskazini 15 --requests 160 --concurrency 8 --rate-per-s 40
tool rehearsal schedule --service agizo --servers agizo-1,agizo-2,agizo-3,agizo-4 \
    --duration-ms 3000 --id too-many --operator asha
say "exit code $?"
scheduled_ms=$(date +%s%3N)
end_of_caller orders-pwani
end_of_caller orders-kaskazini
tool rehearsal report too-many
within=$(at_work "$((scheduled_ms + 1000))" "$((scheduled_ms + 2800))")
check "the floor is kept: $within of 5 servers in use during the rehearsal" test "$within" -ge 3
check "every order was answered in pwani" all_answered orders-pwani 160
check "every order was answered in kaskazini" all_answered orders-kaskazini 160
check "no daemon panicked" no_panic
final_check
verdict
