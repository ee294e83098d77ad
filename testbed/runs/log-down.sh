#!/usr/bin/env bash
# Takes the log service down while every VM is replaced one by one and another VM
# starts. When the log service is up again, two operators roll out bundles at the
# same time.
source "$(dirname "$0")/common.sh"

# check_start NUMBER: checks that a VM that has just started gets v1 while the log
# service is down.
check_start() {
    local started_ms
    started_ms=$(date +%s%3N)
    check "the new vm-$1 gets v1 from its peers" wait_for "$IN_FORCE_S" vm_has v1 "$1"
    say "vm-$1: $(($(date +%s%3N) - started_ms)) ms after its start"
}

start_fleet 4
call_lookups lookups 29 --requests 1600 --concurrency 4 --rate-per-s 90 --attempts 6
list_vm 5
sleep 1.5
say "log service down"
fault '{"down": true}'
start_vm 5
check_start 5
for number in 1 2 3 4; do
    say "replace vm-$number"
    kill_now "vm-$number"
    start_vm "$number"
    check_start "$number"
done
say "log service up; asha and baraka both roll out a bundle based on v1"
fault '{"down": false}'
sleep 0.5
sed 's/burst_requests: 200/burst_requests: 201/' "$WORK/bundle.yaml" >"$WORK/left.yaml"
sed 's/burst_requests: 200/burst_requests: 202/' "$WORK/bundle.yaml" >"$WORK/right.yaml"
tool bundle publish "$WORK/left.yaml" --version left --base v1 --operator asha >/dev/null
tool bundle publish "$WORK/right.yaml" --version right --base v1 --operator baraka >/dev/null
tool bundle sign-off left --operator baraka >/dev/null
tool bundle sign-off right --operator asha >/dev/null
tool bundle roll-out left --operator asha --wait-ms 0 >"$WORK/left.log" 2>&1 &
left=$!
tool bundle roll-out right --operator baraka --wait-ms 0 >"$WORK/right.log" 2>&1 &
right=$!
left_code=0
right_code=0
wait "$left" || left_code=$?
wait "$right" || right_code=$?
say "left: exit code $left_code: $(head -n 1 "$WORK/left.log")"
say "right: exit code $right_code: $(head -n 1 "$WORK/right.log")"
check "one operator succeeds, the other gets an error" test "$((left_code + right_code))" = 1
winner=left
((left_code == 0)) || winner=right
VM_COUNT=5
check "$winner is in force on all VMs" wait_for "$IN_FORCE_S" all_have "$winner"
sleep 1
check "$winner stays in force on all VMs" all_have "$winner"
end_of_caller lookups
check "each lookup got its own response or a verdict" test "$EXIT_CODE" = 0
check "no daemon panicked" no_panic
final_check
verdict
