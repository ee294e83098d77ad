//! Exponential backoff with jitter.

use rand::Rng as _;

/// Exponential backoff with jitter. The wait doubles with each consecutive
/// failure, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    failure_count: u32,
    limit_ms: u64,
}

impl Backoff {
    /// Creates a backoff whose wait grows from `base_ms` to `limit_ms`.
    pub const fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self {
            base_ms,
            failure_count: 0,
            limit_ms,
        }
    }

    /// Records a success: the next failure starts again at the base wait.
    pub const fn reset(&mut self) {
        self.failure_count = 0;
    }

    /// Records a failure and returns the time to wait before the next attempt, a
    /// random value between 50 % and 100 % of the doubled wait, in milliseconds.
    pub fn next_ms(&mut self, random: &mut rand::rngs::SmallRng) -> u64 {
        let doubled_ms = self.base_ms.saturating_mul(1 << self.failure_count.min(20));
        self.failure_count = self.failure_count.saturating_add(1);
        let wait_limit_ms = doubled_ms.min(self.limit_ms).max(1);
        random.random_range(wait_limit_ms.div_ceil(2)..=wait_limit_ms)
    }
}
