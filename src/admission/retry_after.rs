//! When refused callers should come back.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::admission::completion_rate;
use crate::configs::admission;

/// Spreads the come-back times of refused callers.
///
/// Each refusal reserves the next place in a line that moves at a part of the
/// rate at which requests really end. So the times grow with the overload, the
/// callers that come back never fill more than that part of the capacity, and
/// the rest stays free for new work. The line is at most
/// `retry_after_max_ms` long; beyond it, times are spread over its second
/// half.
#[derive(Clone, Debug)]
pub struct RetryAfter {
    completion_rate: completion_rate::CompletionRate,
    last_reserved_us: u64,
    max_ms: u64,
    min_ms: u64,
    random: rand::rngs::SmallRng,
    rate_percent: u64,
}

impl RetryAfter {
    /// Gives an empty line.
    #[must_use]
    pub fn new(config: &admission::AdmissionConfig, seed: u64) -> Self {
        Self {
            completion_rate: completion_rate::CompletionRate::default(),
            last_reserved_us: 0,
            max_ms: config.retry_after_max_ms.max(config.retry_after_min_ms),
            min_ms: config.retry_after_min_ms,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            rate_percent: u64::from(config.retry_after_rate_percent.max(1)),
        }
    }

    /// Counts a request that ended.
    pub fn record_completion(&mut self, now_ms: u64) {
        self.completion_rate.record_completion(now_ms);
    }

    /// Gives the time after which a refused caller should come back, in
    /// milliseconds, jittered by a quarter either way.
    pub fn retry_after_ms(&mut self, now_ms: u64) -> u64 {
        let current_us = now_ms * 1_000;
        let start_us = self.last_reserved_us.max(current_us + self.min_ms * 1_000);
        let step_us = 100_000_000 / (self.completion_rate.per_s(now_ms) * self.rate_percent);
        let longest_us = current_us + self.max_ms * 1_000;
        if start_us + step_us > longest_us {
            return self.random.random_range(self.max_ms / 2..=self.max_ms);
        }
        self.last_reserved_us = start_us + step_us;
        let wait_ms = (self.last_reserved_us - current_us) / 1_000;
        let quarter_ms = wait_ms / 4;
        let jittered_ms = self
            .random
            .random_range(wait_ms - quarter_ms..=wait_ms + quarter_ms);
        jittered_ms.clamp(self.min_ms, self.max_ms)
    }
}
