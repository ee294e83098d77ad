#!/usr/bin/env bash
# Runs two builds of the daemon and the tool in one fleet. An earlier build writes
# the log, then all VMs are replaced by this build in two steps, and at last one VM
# by the earlier build again. Guards against renames that change records of the
# log, settings or messages between entry VMs.
#
# OLD_PROGRAMS: directory with the earlier build's foxtailwinch and
# foxtailwinchd. Not part of all.sh, which has no earlier build.
source "$(dirname "$0")/common.sh"

NEW_PROGRAMS="$PROGRAMS"
OLD_PROGRAMS="${OLD_PROGRAMS:?directory of an earlier build}"

# with PROGRAMS COMMAND…: runs a command with the programs of a build.
with() {
    local PROGRAMS="$1"
    shift
    "$@"
}

# replace_vm PROGRAMS NUMBER: stops a VM and restarts it with the given build.
replace_vm() {
    local number="$2"
    list_vm "$number" true
    signal "vm-$number" TERM
    wait_for_exit 20 "vm-$number" || return 1
    list_vm "$number"
    with "$1" start_vm "$number"
    wait_for "$IN_FORCE_S" vm_has "$VERSION" "$number" && wait_for 10 takes_callers "$number"
}

# publish_with PROGRAMS VERSION BURST: publishes a bundle with the burst limit
# BURST, using the tool of the given build.
publish_with() {
    sed -i "s/burst_requests: .*/burst_requests: $3/" "$WORK/bundle.yaml"
    with "$1" publish "$2" "$VERSION" && wait_for "$IN_FORCE_S" all_have "$2"
}

# serve NAME: sends lookups and keyed orders through all VMs.
serve() {
    call_lookups "lookups-$1" 25 --requests 120 --concurrency 4 --rate-per-s 40
    call_orders "orders-$1" 25 --requests 60 --concurrency 4 --rate-per-s 20
    end_of_caller "lookups-$1"
    end_of_caller "orders-$1"
    check "$1: every lookup was answered" all_answered "lookups-$1" 120
    check "$1: every order was answered" all_answered "orders-$1" 60
}

# no_unreadable_message: succeeds if no VM rejected a record or a peer's message.
# Rejected leases are not counted: VMs of one build also reject a lease that
# another VM holds.
no_unreadable_message() {
    ! grep -hE 'FW0011|FW0015|FW0021' "$WORK"/vm-*.log |
        grep -vE '"reason":"(lease-held|lease-term-too-low)"'
}

# claims_were_granted: succeeds if VMs sent claims to witnesses and no claim was
# denied.
claims_were_granted() {
    local number
    for number in 1 2 3 4 5 6; do
        vm_answers "$number" | grep -o '"claim\.[^,}]*' || true
    done | tee "$WORK/claims" | grep -q 'claim.sent"'
    cat "$WORK/claims"
    ! grep -q 'refusal.claim-denied' "$WORK/claims"
}

for program in foxtailwinch foxtailwinchd; do
    [ -x "$OLD_PROGRAMS/$program" ] || break_off "no $program in OLD_PROGRAMS"
done
require_programs
start_platform
start_servers
with "$OLD_PROGRAMS" start_vms 6
with "$OLD_PROGRAMS" publish v1 none >"$WORK/publish.log" 2>&1 || break_off "publish failed"
VERSION=v1
wait_for "$IN_FORCE_S" all_have v1 || break_off "v1 is not in force everywhere"
wait_for_entry_points || break_off "a VM returns no entry points"
say "started: 6 VMs of the earlier build, bundle v1 in force"
serve earlier

for number in 2 3 6; do
    check "vm-$number of this build has v1, stored by the earlier build, in force" \
        replace_vm "$NEW_PROGRAMS" "$number"
done
serve mixed
check "v2, published by this build, is in force on all VMs" publish_with "$NEW_PROGRAMS" v2 201
VERSION=v2
check "v3, published by the earlier build, is in force on all VMs" publish_with "$OLD_PROGRAMS" v3 202
VERSION=v3
set_mode bei-1 '{"mode":"wrong","percent":100}'
call_lookups lookups-gray 25 --requests 200 --concurrency 6 --rate-per-s 60
end_of_caller lookups-gray
check "lookups with a wrong server: each got its own response or a verdict" test "$EXIT_CODE" = 0
for number in 1 2 3 4 5 6; do
    say "vm-$number: $(vm_answers "$number" | grep -o '"ejections":\[[^]]*\]')"
done
set_mode bei-1 '{"mode":"healthy"}'
check "claims between VMs of both builds were granted" claims_were_granted

for number in 1 4 5; do
    check "v3 is in force on vm-$number of this build" replace_vm "$NEW_PROGRAMS" "$number"
done
serve this-build
check "vm-2 of the earlier build reads the records of this build" replace_vm "$OLD_PROGRAMS" 2
serve back
check "no VM rejected a record or a message" no_unreadable_message
check "no daemon panicked" no_panic
show_errors
final_check
verdict
