#!/usr/bin/env bash
# Builds, brings up a small fleet as plain processes on 127.0.0.1, serves real
# requests and prints what it saw. Ends every process that it started.
#
# FOXTAILWINCH_FIRST_PORT: first of 500 ports used (21000).
# Exit codes: 0 every request had its own answer, 1 not so, 2 cannot start.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked
SCALE=0.2
# shellcheck source=testbed/runs/common.sh
source testbed/runs/common.sh

require_programs
say "starting a platform, backend servers and 6 entry VMs"
start_platform
start_servers
start_vms 6

say "publishing a bundle: asha proposes, baraka signs off, asha rolls out"
publish v1 none
wait_for "$IN_FORCE_S" all_have v1
wait_for_entry_points

say "what a caller is told by vm-1:"
http "http://$(caller_address 1)/.foxtailwinch/entry-points"
echo
say "foxtailwinch bundle status:"
tool bundle status
say "foxtailwinch fleet status:"
tool fleet status

say "three callers: 300 lookups, 150 orders, an upload of 20 MB"
call_lookups lookups 25 --requests 300 --concurrency 6
call_orders orders 25 --requests 150 --concurrency 4
call_uploads upload 25 --requests 1 --body-bytes 20000000
for name in lookups orders upload; do
    end_of_caller "$name" || true
done

check "every lookup was answered" all_answered lookups 300
check "every order was answered" all_answered orders 150
check "the upload was answered" all_answered upload 1
final_check
verdict
