#!/usr/bin/env bash
# Kills entry VMs one after another under a load of keyed orders, and restarts each
# at the same address as a new incarnation.
source "$(dirname "$0")/common.sh"

start_fleet 6
call_orders orders-pwani 28 --requests 160 --concurrency 6 --rate-per-s 15 --attempts 8
NEAR_VM=3
call_orders orders-kaskazini 28 --requests 160 --concurrency 6 --rate-per-s 15 --attempts 8
for number in 1 2 3 4 5 6; do
    pause_between 700 1200
    say "kill -9 vm-$number"
    kill_now "vm-$number"
    pause_between 200 600
    start_vm "$number"
done
for region in pwani kaskazini; do
    end_of_caller "orders-$region"
    check "$region: each order got its own response or a verdict" test "$EXIT_CODE" = 0
    check "$region: at least 130 of 160 orders were answered" \
        at_least "orders-$region" requests answered 130
done
check "v1 is in force on all VMs again" wait_for "$IN_FORCE_S" all_have v1
check "no daemon panicked" no_panic
final_check
verdict
