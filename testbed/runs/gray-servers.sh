#!/usr/bin/env bash
# Puts one server per service after another into a gray mode under a load of
# lookups and orders: slow by a factor of 20, truncated, wrong, half-alive. Every
# request must get its own response or a verdict.
source "$(dirname "$0")/common.sh"

start_fleet 4
modes=('{"mode":"slow","factor":20}' '{"mode":"truncated","percent":50}'
    '{"mode":"wrong","percent":50}' '{"mode":"half-alive"}')
index=0
for mode in "${modes[@]}"; do
    index=$((index + 1))
    server=$((1 + RANDOM % 3))
    set_mode "bei-$server" "$mode"
    set_mode "agizo-$server" "$mode"
    say "bei-$server and agizo-$server: $mode"
    call_lookups "lookups-$index" 8 --requests 200 --concurrency 8 --rate-per-s 80
    call_orders "orders-$index" 8 --requests 60 --concurrency 6 --rate-per-s 25 \
        --deadline-ms 1000 --attempts 3
    end_of_caller "lookups-$index"
    check "lookups, $mode: each got its own response or a verdict" test "$EXIT_CODE" = 0
    end_of_caller "orders-$index"
    check "orders, $mode: each got its own response or a verdict" test "$EXIT_CODE" = 0
    for number in 1 2 3 4; do
        say "vm-$number: $(vm_answers "$number" | grep -o '"ejections":\[[^]]*\]')"
    done
    set_mode "bei-$server" '{"mode":"healthy"}'
    set_mode "agizo-$server" '{"mode":"healthy"}'
done
check "no daemon panicked" no_panic
final_check
verdict
