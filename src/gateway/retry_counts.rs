//! Counts of the requests and retries of one VM for one service.

/// Counts of the requests and retries of one VM for one service, since the start of
/// the process.
///
/// Unlike lines on single retries, of which some are suppressed under load, the last
/// counts that a process has logged cover all of its retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryCounts {
    /// Number of attempts that reached a server, including those of relayed requests.
    pub arrivals_count: u64,
    /// Number of retries that were not made because the budget was used up.
    pub denied_count: u64,
    /// Number of requests of callers, without those that another VM relayed.
    pub requests_count: u64,
    /// Number of retries that were charged to the budget.
    pub retries_count: u64,
}

impl RetryCounts {
    /// Counts of a process that has handled no request.
    pub const ZERO: Self = Self {
        arrivals_count: 0,
        denied_count: 0,
        requests_count: 0,
        retries_count: 0,
    };

    /// Returns whether there were more retries, made or denied, than in `earlier`.
    #[must_use]
    pub const fn has_retries_since(&self, earlier: &Self) -> bool {
        self.retries_count != earlier.retries_count || self.denied_count != earlier.denied_count
    }
}
