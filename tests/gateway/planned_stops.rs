//! Tests of how long a VM that stops accepts requests.

use std::time;

use foxtailwinch::gateway;

/// Guards against callers that find a VM closed while they may use its address, and
/// against a grace time that leaves no time for the last responses.
#[test]
fn requests_are_accepted_as_long_as_the_address_is_valid() {
    let cases = [(3, 6_000), (3, 10_000), (5, 10_000), (5, 6_000), (3, 2_000)];
    let accepting =
        cases.map(|(lifetime_s, grace_ms)| gateway::accepting_time(lifetime_s, grace_ms));
    let expected_ms = [3_000, 3_000, 5_000, 3_500, 0];
    assert_eq!(accepting, expected_ms.map(time::Duration::from_millis));
}
