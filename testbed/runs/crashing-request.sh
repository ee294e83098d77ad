#!/usr/bin/env bash
# Resends a request that crashes every server that runs it. At most two servers
# may crash, and other requests must still be served.
source "$(dirname "$0")/common.sh"

dead_servers() {
    local name
    for name in "${SERVERS[@]}"; do
        is_running "$name" || echo "$name"
    done
}
at_most_two_dead() {
    dead_servers
    (($(dead_servers | wc -l) <= 2))
}

SCALE=0.5
start_fleet 4
for name in "${SERVERS[@]}"; do
    set_mode "$name" '{"mode":"crash-on-marked"}'
done
call_lookups lookups 20 --requests 500 --concurrency 4 --rate-per-s 80
sleep 1
say "two callers send a lookup that crashes servers, with up to 8 attempts each"
for name in crashing crashing-again; do
    call "$name" 5 --path /bei/crash --deadline-ms 1000 --requests 1 --attempts 8 \
        --header x-crash:true
    await_caller "$name"
    say "$name, attempts (exit code $EXIT_CODE; 124: retry time beyond the limit of 5 s):"
    history_counts "$name"
done
say "crashed servers: $(dead_servers | tr '\n' ' ')"
for number in 1 2 3 4; do
    say "vm-$number: crashes detected: $(http "http://$(operator_address "$number")/counters" |
        grep -o '"server.died":[0-9]*' || echo none)"
done
check "lookup: at most two servers crashed" at_most_two_dead
for name in $(dead_servers); do
    kill_now "$name"
    start_server "$name"
    wait_for 5 http "http://${SERVER_ADDRESSES[$name]}/health"
    set_mode "$name" '{"mode":"crash-on-marked"}'
done
say "four callers send an order that crashes servers, each under its own key"
for name in order-1 order-2 order-3 order-4; do
    call "$name" 2 --path /agizo/crash --method POST --body-bytes 2000 --keyed \
        --deadline-ms 1000 --requests 1 --attempts 2 --header x-crash:true
    await_caller "$name"
    say "$name, attempts (exit code $EXIT_CODE):"
    history_counts "$name"
done
say "crashed servers: $(dead_servers | tr '\n' ' ')"
check "order: at most two servers crashed" at_most_two_dead
end_of_caller lookups
check "other lookups: each got its own response or a verdict" test "$EXIT_CODE" = 0
check "every other lookup was answered" all_answered lookups 500
check "no daemon panicked" no_panic
final_check
verdict
