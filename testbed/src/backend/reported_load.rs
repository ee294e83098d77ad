//! Load that a backend server reports.

/// Load that a backend server reports. It is updated at intervals, so it lags
/// behind the actual load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    in_flight: u32,
    interval_ms: u64,
    next_update_ms: u64,
}

impl ReportedLoad {
    /// Creates a report that is updated every `interval_ms` milliseconds; with
    /// 0 it always equals the actual load.
    #[must_use]
    pub const fn new(interval_ms: u64) -> Self {
        Self {
            in_flight: 0,
            interval_ms,
            next_update_ms: 0,
        }
    }

    /// Returns the load to report at `now_ms`, where `in_flight` is the actual
    /// load.
    pub const fn report(&mut self, now_ms: u64, in_flight: u32) -> u32 {
        if now_ms >= self.next_update_ms {
            self.in_flight = in_flight;
            self.next_update_ms = now_ms.saturating_add(self.interval_ms);
        }
        self.in_flight
    }
}
