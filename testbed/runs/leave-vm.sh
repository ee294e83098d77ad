#!/usr/bin/env bash
# Makes one entry VM leave (SIGTERM) during uploads and orders, while lookups
# continue at its address until the address expires at callers. Two VMs remain in
# its region: a single VM has no witness and accepts no orders.
source "$(dirname "$0")/common.sh"

start_fleet 6
held=$(caller_address 1)

# Sends lookups to vm-1 until its address expires at callers.
send_held_lookups() {
    local until_ms=$(($(date +%s%3N) + ENTRY_POINT_LIFETIME_MS - 200)) code
    HELD_SENT=0
    HELD_SERVED=0
    while (($(date +%s%3N) < until_ms)); do
        HELD_SENT=$((HELD_SENT + 1))
        code=$(curl --silent --max-time 2 --output /dev/null --write-out '%{http_code}' \
            "http://$held/bei/1" || true)
        [ "$code" = 200 ] && HELD_SERVED=$((HELD_SERVED + 1))
        sleep 0.05
    done
}

call_orders orders 28 --requests 200 --concurrency 6 --rate-per-s 20
call_uploads uploads 28 --requests 8 --concurrency 4 --body-bytes 8000000
sleep 1
in_flight=$(vm_answers 1 | grep -o '"in_flight_requests":[0-9]*')
say "SIGTERM vm-1 (${in_flight})"
list_vm 1 true
signal vm-1 TERM
started_ms=$(date +%s%3N)
withdrawn() {
    ! http "http://$(caller_address 2)/.foxtailwinch/entry-points" | grep -q "$held" &&
        ! http "http://$(caller_address 5)/.foxtailwinch/entry-points" | grep -q "$held"
}
send_held_lookups
say "old address: $HELD_SERVED of $HELD_SENT lookups served within its lifetime"
check "callers that use the old address were served" test "$HELD_SERVED" = "$HELD_SENT"
check "other VMs no longer return the address as an entry point" withdrawn
check "vm-1 ends on its own" wait_for_exit 20 vm-1
say "vm-1 had ended $(($(date +%s%3N) - started_ms)) ms after SIGTERM"
check "vm-1 ended with exit code 0" test "${EXIT_CODE:-}" = 0
check "vm-1 had no request in flight" grep -q 'nothing is in flight' "$WORK/vm-1.log"
end_of_caller orders
check "every order was answered" all_answered orders 200
check "no attempt of an order lost its connection" test "$(report_count orders attempts broken)" = 0
end_of_caller uploads
check "every upload was answered" all_answered uploads 8
check "no attempt of an upload lost its connection" test "$(report_count uploads attempts broken)" = 0
check "no daemon panicked" no_panic
final_check
verdict
