#!/usr/bin/env bash
# Sends uploads that are refused at once (a non-idempotent request without a key, or
# a body over the limit) while the caller is still sending the body. The caller must
# receive the verdict and not a lost connection, which would mean "may have run".
source "$(dirname "$0")/common.sh"

start_fleet 4
vm="http://$(caller_address 1)"
head -c 8000000 /dev/zero >"$WORK/upload"
head -c 140000000 /dev/zero >"$WORK/large-upload"
prefix=$(http "$vm/.foxtailwinch/entry-points" | grep -o '"key_prefix":"[^"]*' |
    head -n 1 | cut -d'"' -f4)

# post NAME FILE ARGUMENTS…: uploads a file with curl, without waiting for "100
# Continue".
post() {
    local name="$1" file="$2"
    shift 2
    curl --silent --show-error --max-time 10 --header 'Expect:' --output /dev/null \
        --dump-header "$WORK/$name.head" --data-binary "@$file" "$@" "$vm/orodha/catalogues"
}
says() { grep -iq "^x-foxtailwinch-verdict: $2" "$WORK/$1.head"; }

call uploads 15 --path /orodha/catalogues --method POST --body-bytes 8000000 \
    --requests 20 --concurrency 2 --attempts 1 --deadline-ms 5000
end_of_caller uploads
check "each upload without a key was refused as not run" \
    test "$(report_count uploads reasons 'not-run key-prefix-missing')" = 20
check "no attempt lost its connection" test "$(report_count uploads attempts broken)" = 0
for attempt in 1 2 3 4 5; do
    check "curl $attempt: an upload without a key gets a response" \
        post "plain-$attempt" "$WORK/upload"
    check "curl $attempt: the verdict is not-run" says "plain-$attempt" not-run
done
check "curl: an upload over the limit gets a response" \
    post large "$WORK/large-upload" --header "idempotency-key: $prefix.large-1"
check "curl: the verdict is not-run" says large not-run
check "no daemon panicked" no_panic
final_check
verdict
