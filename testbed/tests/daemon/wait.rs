//! Waiting for a condition.

use std::time;

/// Time after which a condition counts as never met.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time between two looks at a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Waits until `is_met`.
pub async fn until(what: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let met = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(met.is_ok(), "never met: {what}");
}
