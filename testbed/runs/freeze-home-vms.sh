#!/usr/bin/env bash
# Freezes entry VMs for 1 to 3 s at random times under a load of keyed orders. The
# callers resend an order after their timeout, so a frozen home VM may continue
# with an order that has been resent.
source "$(dirname "$0")/common.sh"

start_fleet 6
call_orders orders-pwani 28 --requests 150 --concurrency 8 --rate-per-s 15 --attempts 8 \
    --deadline-ms 1000
NEAR_VM=3
call_orders orders-kaskazini 28 --requests 150 --concurrency 8 --rate-per-s 15 --attempts 8 \
    --deadline-ms 1000
for _ in 1 2 3 4 5; do
    pause_between 100 700
    number=$((1 + RANDOM % 6))
    say "SIGSTOP vm-$number"
    signal "vm-$number" STOP
    pause_between 1000 3000
    say "SIGCONT vm-$number"
    signal "vm-$number" CONT
done
for region in pwani kaskazini; do
    end_of_caller "orders-$region"
    check "$region: each order got its own response or a verdict" test "$EXIT_CODE" = 0
    check "$region: at least 110 of 150 orders were answered" \
        at_least "orders-$region" requests answered 110
done
check "no daemon panicked" no_panic
final_check
verdict
