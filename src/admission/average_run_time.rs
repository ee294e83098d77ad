//! Average run time of requests.

/// Reciprocal of the weight that one request has in the moving average.
const AVERAGED_REQUESTS: u64 = 16;

/// Exponential moving average of the run time of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AverageRunTime {
    /// Average run time multiplied by [`AVERAGED_REQUESTS`]; `None` before the
    /// first request has ended.
    scaled_ms: Option<u64>,
}

impl AverageRunTime {
    /// Records a request that ran for `run_ms` milliseconds.
    pub(crate) fn record(&mut self, run_ms: u64) {
        self.scaled_ms = Some(match self.scaled_ms {
            None => run_ms.saturating_mul(AVERAGED_REQUESTS),
            Some(scaled_ms) => scaled_ms - scaled_ms / AVERAGED_REQUESTS + run_ms,
        });
    }

    /// Returns the average in milliseconds, or `default_ms` before the first
    /// request has ended.
    pub(crate) fn average_ms(self, default_ms: u64) -> u64 {
        let average_ms = self
            .scaled_ms
            .map(|scaled_ms| scaled_ms / AVERAGED_REQUESTS);
        average_ms.unwrap_or(default_ms)
    }
}
