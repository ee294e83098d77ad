//! Run times of a route's requests.

/// Weight of the newest sample in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Multiple of the mean deviation that few requests exceed: 1 in 200 if run times are
/// distributed exponentially. The callers of these lose their request when the VM stops.
const HIGH_DEVIATIONS: f64 = 6.0;

/// Moving averages of the run time of a route's requests.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    deviation_ms: f64,
    mean_ms: f64,
}

impl RunTime {
    /// Creates the run time of a route whose first request took `run_ms`.
    #[must_use]
    pub const fn new(run_ms: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let mean_ms = run_ms as f64;
        Self {
            deviation_ms: mean_ms / 2.0,
            mean_ms,
        }
    }

    /// Adds the run time of a further request that got a response.
    pub fn record(&mut self, run_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let difference_ms = run_ms as f64 - self.mean_ms;
        self.mean_ms += difference_ms * SMOOTHING;
        self.deviation_ms += (difference_ms.abs() - self.deviation_ms) * SMOOTHING;
    }

    /// Returns a run time that few requests exceed, in milliseconds.
    #[must_use]
    pub fn high_ms(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is a small positive number"
        )]
        let high_ms = (self.mean_ms + HIGH_DEVIATIONS * self.deviation_ms) as u64;
        high_ms
    }
}
