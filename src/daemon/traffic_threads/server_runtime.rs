//! What this entry VM knows of one backend server.

/// What this entry VM knows of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRuntime {
    /// When the server came back after it was down, on the local clock.
    pub cold_since_ms: Option<u64>,
    /// Until when the server is taken to be draining, on the local clock.
    pub draining_until_ms: Option<u64>,
    /// Until when the server gets no work, on the local clock. Compared with
    /// the clock for each request, so that a paused control thread does not
    /// lengthen an ejection.
    pub ejected_until_ms: u64,
    /// Whether a rehearsal keeps new work from the server.
    pub in_rehearsal: bool,
    /// When a server that is down is tried again, on the local clock.
    pub next_trial_request_ms: u64,
    /// Whether the last attempt to connect failed.
    pub is_down: bool,
    /// Requests of this entry VM that run there.
    pub in_flight_requests: u32,
    /// Load that the server last reported, in thousandths of its slots.
    pub reported_load_permille: Option<u32>,
    /// When it was reported, on the local clock.
    pub reported_at_ms: u64,
    /// Share of the usual work that the server gets while it is not ejected:
    /// 1000 is all.
    pub weight_permille: u32,
}

impl Default for ServerRuntime {
    fn default() -> Self {
        Self {
            cold_since_ms: None,
            draining_until_ms: None,
            ejected_until_ms: 0,
            in_flight_requests: 0,
            in_rehearsal: false,
            is_down: false,
            next_trial_request_ms: 0,
            reported_at_ms: 0,
            reported_load_permille: None,
            weight_permille: 1_000,
        }
    }
}

impl ServerRuntime {
    /// Gives the share of the usual work that the server gets now. A server
    /// that is up and not ejected keeps a trickle, so that it stays in service.
    #[must_use]
    pub fn share_permille(&self, now_ms: u64) -> u32 {
        let awaits_trial_request = self.is_down && now_ms < self.next_trial_request_ms;
        if awaits_trial_request || now_ms < self.ejected_until_ms {
            return 0;
        }
        self.weight_permille.max(1)
    }

    /// Gives whether the server came back less than `cold_ramp_ms` ago.
    #[must_use]
    pub fn is_cold(&self, now_ms: u64, cold_ramp_ms: u64) -> bool {
        self.cold_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + cold_ramp_ms)
    }

    /// Gives whether the server itself says that it is leaving.
    #[must_use]
    pub fn has_reported_draining(&self, now_ms: u64) -> bool {
        self.draining_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Gives whether the server is to get no new work, because it is leaving or
    /// a rehearsal takes it for leaving.
    #[must_use]
    pub fn is_draining(&self, now_ms: u64) -> bool {
        self.in_rehearsal || self.has_reported_draining(now_ms)
    }
}
