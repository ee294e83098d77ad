#!/usr/bin/env bash
# Measures the memory and time that parts of one daemon need, by the number of items
# that they hold. docs/CAPACITY.md derives its slopes from these figures. Each point
# is measured in a separate process.
#
# Usage: capacity.sh

source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

build
describe_machine
points=(
    "servers 2000" "servers 20000" "servers 50000" "servers 100000" "servers 200000"
    "fold 2000" "fold 20000" "fold 50000" "fold 100000" "fold 200000"
    "organisation-limits 10000" "organisation-limits 100000" "organisation-limits 610000"
    "organisations 10000" "organisations 131072" "organisations 610000"
    "detector 8" "detector 56" "detector 500" "detector 5000"
    "subset 300" "subset 1480"
)
for point in "${points[@]}"; do
    read -r role count <<<"$point"
    echo "$role $count: $("$BIN/measure-capacity" --role "$role" --count "$count" 2>&1 || true)"
done
describe_machine
