//! State of the graceful shutdown of this VM.

use std::sync::atomic;

use tokio::sync::watch;

/// State of the graceful shutdown of this VM.
#[derive(Debug)]
pub struct LeaveState {
    /// When the last responses must have been given, in milliseconds; `u64::MAX` before the
    /// shutdown begins.
    end_ms: atomic::AtomicU64,
    has_ended: watch::Sender<bool>,
}

impl Default for LeaveState {
    fn default() -> Self {
        Self {
            end_ms: atomic::AtomicU64::new(u64::MAX),
            has_ended: watch::Sender::new(false),
        }
    }
}

impl LeaveState {
    /// Records that the shutdown begins and that it ends at `end_ms`.
    pub fn begin(&self, end_ms: u64) {
        self.end_ms.store(end_ms, atomic::Ordering::Relaxed);
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.end_ms.load(atomic::Ordering::Relaxed) != u64::MAX
    }

    /// Returns the time until the end of the shutdown, in milliseconds; `None` before it
    /// begins.
    #[must_use]
    pub fn time_left_ms(&self, now_ms: u64) -> Option<u64> {
        let end_ms = self.end_ms.load(atomic::Ordering::Relaxed);
        (end_ms != u64::MAX).then(|| end_ms.saturating_sub(now_ms))
    }

    /// Ends all requests that are still in flight.
    pub fn end(&self) {
        self.has_ended.send_replace(true);
    }

    /// Waits until the requests in flight are ended.
    pub async fn ended(&self) {
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = self.has_ended.subscribe().wait_for(|ended| *ended).await;
    }
}
