//! When a silent connection counts as broken.

use std::time;

/// When a silent connection counts as broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SocketOptions {
    /// Time for the connection to be made.
    pub connect_timeout: time::Duration,
    /// Time between keep-alive probes, and before the first one.
    pub keepalive: time::Duration,
    /// Time for which sent bytes, or probes, may go unacknowledged.
    pub unacknowledged_timeout: time::Duration,
}
