//! Waits for conditions with a timeout.

use std::time;

/// Time after which a wait fails the test.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Waits until `is_met` returns `true`.
///
/// # Panics
///
/// Panics if the condition is not met within `TIMEOUT`. The message names it by
/// `condition`.
pub async fn until(condition: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let met = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(
        met.is_ok(),
        "condition not met within {TIMEOUT:?}: {condition}"
    );
}
