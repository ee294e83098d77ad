//! The load that a server reports.

/// The load that a server reports: taken at intervals, so that it lags.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    in_flight: u32,
    interval_ms: u64,
    next_update_ms: u64,
}

impl ReportedLoad {
    /// Gives a report that is taken anew every `interval_ms` milliseconds; 0
    /// reports the load as it is.
    #[must_use]
    pub const fn new(interval_ms: u64) -> Self {
        Self {
            in_flight: 0,
            interval_ms,
            next_update_ms: 0,
        }
    }

    /// Gives the load to report at `now_ms`, when it really is `in_flight`.
    pub const fn report(&mut self, now_ms: u64, in_flight: u32) -> u32 {
        if now_ms >= self.next_update_ms {
            self.in_flight = in_flight;
            self.next_update_ms = now_ms.saturating_add(self.interval_ms);
        }
        self.in_flight
    }
}
