//! Delays.

use std::time;

/// Waits for `length`. Returns at once if `length` is zero, because a timer
/// would take up to a millisecond.
pub async fn pause(length: time::Duration) {
    if !length.is_zero() {
        tokio::time::sleep(length).await;
    }
}
