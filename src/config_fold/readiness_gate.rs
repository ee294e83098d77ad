//! Readiness of a VM that starts without a configuration.

/// Readiness of a VM that starts without a configuration.
///
/// The VM waits for the log and for some peers before it serves, so that it does
/// not serve with an older bundle than the other VMs.
#[derive(Clone, Debug, Default)]
pub struct ReadinessGate {
    queried_peers: indexmap::IndexSet<String>,
    is_history_complete: bool,
    is_ready: bool,
    is_log_finished: bool,
    finished_peers: indexmap::IndexSet<String>,
    since_ms: Option<u64>,
}

impl ReadinessGate {
    /// Returns whether the VM is ready to serve.
    pub const fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records that `peer` is queried. Returns `false` if it was already queried.
    pub fn add_queried_peer(&mut self, peer: &str) -> bool {
        self.queried_peers.insert(peer.to_owned())
    }

    /// Returns the number of queried peers.
    pub fn queried_peer_count(&self) -> usize {
        self.queried_peers.len()
    }

    /// Records that the query of `peer` has finished with a response or a failure.
    pub fn record_peer_finished(&mut self, peer: &str) {
        if self.queried_peers.contains(peer) {
            self.finished_peers.insert(peer.to_owned());
        }
    }

    /// Records that the log has been read to its current end, or that a read
    /// failed.
    pub const fn record_log_finished(&mut self) {
        self.is_log_finished = true;
    }

    /// Records that the state includes all records of the log, or all records of a
    /// peer that is ready. An incomplete history may have an older bundle in force
    /// than the other VMs serve with.
    pub const fn record_history_complete(&mut self) {
        self.is_history_complete = true;
    }

    /// Clears the queried peers if all of them have finished and the history is
    /// still incomplete, so that other peers are queried.
    pub fn clear_peers_if_all_finished(&mut self) {
        if !self.is_history_complete && self.finished_peers.len() == self.queried_peers.len() {
            self.queried_peers.clear();
            self.finished_peers.clear();
        }
    }

    /// Updates the readiness and returns `true` once, when the VM becomes ready.
    ///
    /// The VM becomes ready when it has a bundle in force (`has_bundle`) and a
    /// complete history, and either the log and all queried peers have finished or
    /// `limit_ms` have passed since the first call.
    pub fn update(&mut self, now_ms: u64, has_bundle: bool, limit_ms: u64) -> bool {
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        let all_finished = self.is_log_finished
            && !self.queried_peers.is_empty()
            && self.finished_peers.len() == self.queried_peers.len();
        let has_timed_out = now_ms >= since_ms + limit_ms;
        let may_serve = has_bundle && self.is_history_complete && (all_finished || has_timed_out);
        if self.is_ready || !may_serve {
            return false;
        }
        self.is_ready = true;
        true
    }
}
