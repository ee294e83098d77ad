//! Retry budget of a service.

use crate::bundle;
use crate::configs::admission;

const MILLI_PER_RETRY: u64 = 1_000;

/// Token bucket that limits the retries of one service to a share of its first
/// attempts.
///
/// Each first attempt adds a fraction of a retry. In addition, the bucket is
/// refilled by a few retries per second, so that a service with little traffic
/// can still retry. The bucket holds at most one burst.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    burst_milli: u64,
    tokens_milli_per_attempt: u64,
    min_per_s: u64,
    tokens_milli: u64,
    updated_ms: u64,
}

impl RetryBudget {
    /// Creates a budget with a full bucket.
    #[must_use]
    pub fn new(config: &admission::AdmissionConfig, service: &bundle::Service) -> Self {
        let burst_milli = u64::from(config.retry_burst_requests) * MILLI_PER_RETRY;
        Self {
            burst_milli,
            tokens_milli_per_attempt: u64::from(service.retry_budget_percent) * MILLI_PER_RETRY
                / 100,
            min_per_s: u64::from(config.retry_min_per_s),
            tokens_milli: burst_milli,
            updated_ms: 0,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.add_tokens(self.tokens_milli_per_attempt);
    }

    /// Consumes one retry; returns `false` when the budget is used up.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        let Some(remaining_milli) = self.tokens_milli.checked_sub(MILLI_PER_RETRY) else {
            return false;
        };
        self.tokens_milli = remaining_milli;
        true
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        // One retry per second equals one thousandth of a retry per
        // millisecond.
        self.add_tokens(elapsed_ms.saturating_mul(self.min_per_s));
    }

    fn add_tokens(&mut self, milli: u64) {
        self.tokens_milli = self
            .tokens_milli
            .saturating_add(milli)
            .min(self.burst_milli);
    }
}
