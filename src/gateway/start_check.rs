//! Check of the first configuration of a process against the other entry VMs.

/// Longest time after the start for which a VM waits to hear from a VM that has a
/// configuration, in milliseconds. Seeds usually respond much sooner.
const MAX_PEER_WAIT_MS: u64 = 1_500;
/// Longest time after the start for which a VM waits for a newer version that it has
/// heard of, in milliseconds.
const MAX_NEWER_WAIT_MS: u64 = 3_000;

/// Decides when a process that has just started may serve requests by keys.
///
/// Load pattern: the store has returned from an older copy, and a VM restarts. It reads
/// an older configuration, with keys that the other VMs know to be withdrawn. Therefore,
/// it hears from another VM before it serves callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartCheck {
    has_heard_peer: bool,
    is_over: bool,
}

impl StartCheck {
    /// Records the version of the configuration of another VM; 0 if that has none.
    pub const fn record_peer(&mut self, configuration_version: u64) {
        self.has_heard_peer |= configuration_version > 0;
    }

    /// Returns whether requests may be served by the configuration in force.
    ///
    /// `now_ms` is the time since the start, `version` that of the configuration in
    /// force, 0 if there is none, and `newest_known_version` the newest one heard of.
    pub const fn is_over(&mut self, now_ms: u64, version: u64, newest_known_version: u64) -> bool {
        let wait_ms = if newest_known_version > version {
            MAX_NEWER_WAIT_MS
        } else if self.has_heard_peer {
            0
        } else {
            MAX_PEER_WAIT_MS
        };
        self.is_over |= version > 0 && now_ms >= wait_ms;
        self.is_over
    }
}
