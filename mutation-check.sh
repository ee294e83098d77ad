#!/usr/bin/env bash
# Breaks one mechanism after another and expects the named test to catch it.
#
# Usage: ./mutation-check.sh [FILTER]
#
# Each patch in tests/mutants/TARGET/ takes a mechanism away; its first line
# names the test of the test target TARGET that must fail with it. The tree as it
# stands is copied to a temporary folder, with the build cache, and patched
# there. FILTER runs only patches whose path holds it.
#
# A mutant is caught if the changed program builds, the named test runs and
# fails. One that does not build, or whose test does not exist, counts as failed.
# Each named test must first pass without a patch.
#
# Exit codes: 0 all caught, 1 some not, 2 no patch matches.
set -uo pipefail
root="$(cd "$(dirname "$0")" && pwd)"
filter="${1:-}"
export PROPTEST_RNG_SEED="${PROPTEST_RNG_SEED:-20261204}"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
trap 'exit 130' INT TERM
tree="$work/tree"
export CARGO_TARGET_DIR="$work/target"
passed=0
failed=0

copy_tree() {
    mkdir -p "$tree" "$CARGO_TARGET_DIR/debug"
    (cd "$root" && git ls-files -z --cached --others --exclude-standard |
        xargs -0 cp --parents --preserve=timestamps --target-directory="$tree")
    local part
    for part in .fingerprint build deps; do
        if [ -d "$root/target/debug/$part" ]; then
            cp -a "$root/target/debug/$part" "$CARGO_TARGET_DIR/debug/"
        fi
    done
}

# run_test TARGET TEST: says passed, failed, or what went wrong.
run_test() {
    local package=foxtailwinch output="$work/output"
    [ ! -f "$tree/testbed/tests/$1.rs" ] || package=testbed
    if [ "$package" = foxtailwinch ] && [ ! -f "$tree/tests/$1.rs" ]; then
        echo "waiting for its test target"
        return
    fi
    cd "$tree" || exit 1
    if ! cargo test -j 4 --locked -p "$package" --test "$1" --no-run >"$output" 2>&1; then
        echo not-built
    elif cargo test -j 4 --locked -p "$package" --test "$1" -- "$2" >"$output" 2>&1; then
        if grep -q '^test result: ok. 0 passed' "$output"; then echo no-test; else echo passed; fi
    elif grep -q '^test result: FAILED' "$output"; then
        echo failed
    else
        echo broke-off
    fi
}

# count CAUGHT NAME TEXT
count() {
    if [ "$1" = yes ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
    printf '%-10s %-52s %s\n' "$([ "$1" = yes ] && echo caught || echo 'NOT CAUGHT')" "$2" "$3"
}

named_test() { sed -n '1s/^test: //p' "$tree/$1"; }

target_of() {
    local name="${1#tests/mutants/}"
    echo "${name%%/*}"
}

# Notes for each named test whether it passes without a patch.
check_unpatched() {
    local patch target test
    for patch in "${patches[@]}"; do
        target="$(target_of "$patch")"
        test="$(named_test "$patch")"
        if [ -n "$test" ] && [ -z "${unpatched["$target $test"]:-}" ]; then
            unpatched["$target $test"]="$(run_test "$target" "$test")"
        fi
    done
}

check_mutant() {
    local patch="$1" name target test result
    name="${patch#tests/mutants/}"
    name="${name%.patch}"
    target="$(target_of "$patch")"
    test="$(named_test "$patch")"
    if [ -z "$test" ]; then
        count no "$name" "the first line names no test"
        return
    fi
    result="${unpatched["$target $test"]}"
    if [ "$result" != passed ]; then
        count no "$name" "without the patch: $result ($test)"
        return
    fi
    if ! git -C "$tree" apply --whitespace=nowarn "$patch" 2>"$work/output"; then
        count no "$name" "the patch does not apply"
        return
    fi
    result="$(run_test "$target" "$test")"
    git -C "$tree" apply -R --whitespace=nowarn "$patch"
    case "$result" in
        failed) count yes "$name" "$test" ;;
        *) count no "$name" "with the patch: $result ($test)" ;;
    esac
}

mapfile -t patches < <(cd "$root" && find tests/mutants -name '*.patch' | grep -F -- "$filter" | sort)
if [ "${#patches[@]}" -eq 0 ]; then
    echo "no patch in tests/mutants matches '$filter'" >&2
    exit 2
fi
copy_tree
git -C "$tree" init -q .
declare -A unpatched=()
check_unpatched
for patch in "${patches[@]}"; do
    check_mutant "$patch"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
