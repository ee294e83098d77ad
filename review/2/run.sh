#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/review/case2 ] && [ -x target/release/foxtailwinch-platform ] || exit 2
# The case and the VMs that it starts share the process group of timeout, so that one
# signal ends them all.
timeout --signal=KILL 115 target/review/case2 &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' INT TERM HUP
wait "$group"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
