//! How long requests run.

/// Weight of one request in the average, as one part in this many.
const AVERAGED_REQUESTS: u64 = 16;

/// Average time that requests run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AverageRunTime {
    /// The average times [`AVERAGED_REQUESTS`], once there is one.
    scaled_ms: Option<u64>,
}

impl AverageRunTime {
    /// Counts a request that ran for `run_ms` milliseconds.
    pub(crate) fn record(&mut self, run_ms: u64) {
        self.scaled_ms = Some(match self.scaled_ms {
            None => run_ms.saturating_mul(AVERAGED_REQUESTS),
            Some(scaled_ms) => scaled_ms - scaled_ms / AVERAGED_REQUESTS + run_ms,
        });
    }

    /// Gives the average in milliseconds; `default_ms` before the first
    /// request has ended.
    pub(crate) fn average_ms(self, default_ms: u64) -> u64 {
        let average_ms = self
            .scaled_ms
            .map(|scaled_ms| scaled_ms / AVERAGED_REQUESTS);
        average_ms.unwrap_or(default_ms)
    }
}
