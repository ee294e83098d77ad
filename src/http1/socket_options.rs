//! Timeouts of TCP connections.

use std::time;

/// Timeouts after which a TCP connection counts as broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SocketOptions {
    /// Time within which the connection must be established.
    pub connect_timeout: time::Duration,
    /// Idle time before the first keep-alive probe, and time between probes.
    pub keepalive: time::Duration,
    /// Time after which the connection is closed if sent bytes or probes stay
    /// unacknowledged.
    pub unacknowledged_timeout: time::Duration,
}

/// Minimum number of keep-alive probes that stay unanswered before a connection is closed.
const MIN_PROBE_COUNT: u32 = 3;

impl SocketOptions {
    /// Returns the number of unanswered keep-alive probes after which a connection that
    /// carries nothing is closed.
    #[must_use]
    pub fn keepalive_probe_count(&self) -> u32 {
        let interval_ms = self.keepalive.as_millis().max(1);
        let count = self
            .unacknowledged_timeout
            .as_millis()
            .div_ceil(interval_ms);
        u32::try_from(count)
            .unwrap_or(u32::MAX)
            .max(MIN_PROBE_COUNT)
    }
}
