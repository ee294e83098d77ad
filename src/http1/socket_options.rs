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
