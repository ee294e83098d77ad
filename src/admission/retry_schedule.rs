//! Retry delays of refused callers.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::admission::completion_rate;
use crate::configs::admission;

/// Schedule of the retries of refused callers.
///
/// Each refusal reserves the next time slot. The slots are spaced for
/// `retry_after_rate_percent` of the measured completion rate, so delays grow
/// with the overload, retries use at most that share of the capacity and the
/// remaining capacity serves new requests. The schedule extends at most
/// `retry_after_max_ms` into the future. When it is full, delays are random
/// between half of `retry_after_max_ms` and `retry_after_max_ms`.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    completion_rate: completion_rate::CompletionRate,
    /// Time of the last reserved slot, in microseconds.
    last_reserved_us: u64,
    max_ms: u64,
    min_ms: u64,
    random: rand::rngs::SmallRng,
    rate_percent: u64,
}

impl RetrySchedule {
    /// Creates an empty schedule.
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

    /// Records a completed request.
    pub fn record_completion(&mut self, now_ms: u64) {
        self.completion_rate.record_completion(now_ms);
    }

    /// Returns the delay after which a refused caller should retry, in
    /// milliseconds, with a jitter of up to a quarter in either direction.
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
