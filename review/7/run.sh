#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0, the same without the disruption.
set -u
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-2/case-7 ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x target/release/foxtailwinch-platform ] || { echo "run the build of the deploy file first"; exit 2; }
# The time limit and a signal end the whole process group, with all entry VMs.
timeout -k 2 118 target/review-2/case-7 "$here" &
id=$!
trap 'kill -TERM $id' INT TERM
wait $id
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
