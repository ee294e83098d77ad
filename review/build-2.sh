#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, each with its stand-ins, with rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$(basename "$case")" "$case/case.rs"
    fi
done
