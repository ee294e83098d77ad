#!/usr/bin/env bash
# Runs all failure tests one after another and prints a table of their verdicts.
#
# SEED (1): seed of the tests. LOGS: directory for the output of each test.
# Exit codes: 0 no check failed, 1 a check failed or a test was aborted.
set -uo pipefail
cd "$(dirname "$0")"
export SEED="${SEED:-1}"
LOGS="${LOGS:-$(mktemp -d)}"
RUN_LIMIT_S=60
mkdir -p "$LOGS"
failed=0
printf '%-24s %-24s %s\n' run verdict seconds
for run in kill-entry-vms freeze-home-vms leave-vm drain-server log-down lost-replies \
    gray-servers crashing-request refuse-uploads rehearse rehearse-while-draining; do
    started_s=$SECONDS
    code=0
    timeout --signal=INT "$RUN_LIMIT_S" "./$run.sh" >"$LOGS/$run.log" 2>&1 || code=$?
    last=$(tail -n 1 "$LOGS/$run.log")
    case "$last" in
        *" passed, "*" failed") ;;
        *) last="aborted (exit code $code)" ;;
    esac
    ((code == 0)) || failed=1
    printf '%-24s %-24s %s\n' "$run" "$last" "$((SECONDS - started_s))"
done
grep -H 'FAILED:' "$LOGS"/*.log | sed "s|$LOGS/||"
echo "seed $SEED; output in $LOGS"
exit "$failed"
