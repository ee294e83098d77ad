//! What a VM without configuration waits for before it serves.

/// What a VM without configuration waits for before it serves.
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
    /// Tells whether the VM serves.
    pub const fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Notes that `peer` is asked; gives whether it was not asked before.
    pub fn add_queried_peer(&mut self, peer: &str) -> bool {
        self.queried_peers.insert(peer.to_owned())
    }

    /// Gives how many peers were asked.
    pub fn queried_peer_count(&self) -> usize {
        self.queried_peers.len()
    }

    /// Notes that `peer` has answered or failed.
    pub fn record_peer_finished(&mut self, peer: &str) {
        if self.queried_peers.contains(peer) {
            self.finished_peers.insert(peer.to_owned());
        }
    }

    /// Notes that the log was read as far as it goes now, or failed.
    pub const fn record_log_finished(&mut self) {
        self.is_log_finished = true;
    }

    /// Notes that the fold has reached the end of the log, or of what a peer
    /// that serves had. Half a log may hold an older bundle than the fleet
    /// serves with.
    pub const fn record_history_complete(&mut self) {
        self.is_history_complete = true;
    }

    /// Forgets whom it asked once all have answered in vain, so that others
    /// are asked.
    pub fn clear_peers_if_all_finished(&mut self) {
        if !self.is_history_complete && self.finished_peers.len() == self.queried_peers.len() {
            self.queried_peers.clear();
            self.finished_peers.clear();
        }
    }

    /// Gives true once: when the VM, which `has_bundle`, has a whole history
    /// and has heard from the log and all asked peers, or has waited
    /// `limit_ms`.
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
