//! State of a backend server on this entry VM.

/// State of a backend server on this entry VM. All times are in milliseconds of
/// the local clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRuntime {
    /// Time at which the server became reachable again after it was last down;
    /// `None` if it was never down.
    pub cold_since_ms: Option<u64>,
    /// Time until which the server counts as draining; `None` if it was never
    /// found draining.
    pub draining_until_ms: Option<u64>,
    /// Time until which the server is ejected. It is compared with the clock at
    /// each request, so that a stalled control thread does not prolong an
    /// ejection.
    pub ejected_until_ms: u64,
    /// Whether a rehearsal treats the server as draining.
    pub in_rehearsal: bool,
    /// Time of the next trial request if the server is down.
    pub next_trial_request_ms: u64,
    /// Whether the last connection attempt failed.
    pub is_down: bool,
    /// Number of requests that this entry VM has in flight on the server.
    pub in_flight_requests: u32,
    /// Load in the server's last report, in permille of its slots; `None` before
    /// the first report.
    pub reported_load_permille: Option<u32>,
    /// Time of the last load report.
    pub reported_at_ms: u64,
    /// Share of its normal work that the server receives while it is not
    /// ejected, in permille.
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
    /// Returns the share of its normal work that the server receives now, in
    /// permille. A server that is neither down nor ejected receives at least
    /// one permille, so that it stays in service.
    #[must_use]
    pub fn share_permille(&self, now_ms: u64) -> u32 {
        let awaits_trial_request = self.is_down && now_ms < self.next_trial_request_ms;
        if awaits_trial_request || now_ms < self.ejected_until_ms {
            return 0;
        }
        self.weight_permille.max(1)
    }

    /// Returns whether the server became reachable less than `cold_ramp_ms`
    /// ago.
    #[must_use]
    pub fn is_cold(&self, now_ms: u64, cold_ramp_ms: u64) -> bool {
        self.cold_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + cold_ramp_ms)
    }

    /// Returns whether the server reported recently that it is draining.
    #[must_use]
    pub fn has_reported_draining(&self, now_ms: u64) -> bool {
        self.draining_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns whether the server should receive no new requests, because it is
    /// draining or a rehearsal treats it as draining.
    #[must_use]
    pub fn is_draining(&self, now_ms: u64) -> bool {
        self.in_rehearsal || self.has_reported_draining(now_ms)
    }
}
