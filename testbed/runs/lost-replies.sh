#!/usr/bin/env bash
# The log service appends records but loses its replies while an operator publishes
# a bundle. The tool must read the log to find its record and append no record
# twice.
source "$(dirname "$0")/common.sh"

records() { http "http://$PLATFORM/streams/configuration/records?from=0"; }
records_of() { records | grep -o "\\\\\"kind\\\\\":\\\\\"$1\\\\\"" | wc -l; }
publish_losing_replies() {
    fault '{"lose_replies": 1}'
    tool bundle publish "$WORK/bundle.yaml" --version v2 --base v1 --operator asha || return 1
    fault '{"lose_replies": 1}'
    tool bundle sign-off v2 --operator baraka || return 1
    fault '{"lose_replies": 1}'
    tool bundle roll-out v2 --operator asha --wait-ms 12000
}

start_fleet 4
call_lookups lookups 20 --requests 300 --concurrency 4 --rate-per-s 50
sed -i 's/burst_requests: 200/burst_requests: 201/' "$WORK/bundle.yaml"
check "v2 is published although the log service loses replies" publish_losing_replies
check "v2 is in force on all VMs" wait_for "$IN_FORCE_S" all_have v2
fault '{"lose_replies": 0}'
for kind in bundle-proposed signed-off rolled-out; do
    check "the log has two records $kind, not three" test "$(records_of "$kind")" = 2
done
end_of_caller lookups
check "every lookup was answered" all_answered lookups 300
check "no daemon panicked" no_panic
final_check
verdict
