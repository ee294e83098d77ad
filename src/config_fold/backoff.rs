//! Growing waits after failures.

use rand::Rng as _;

/// Waits that double with each failure in a row up to a limit, with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    failure_count: u32,
    limit_ms: u64,
}

impl Backoff {
    /// Gives waits from `base_ms` to `limit_ms`.
    pub const fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self {
            base_ms,
            failure_count: 0,
            limit_ms,
        }
    }

    /// Notes a success.
    pub const fn reset(&mut self) {
        self.failure_count = 0;
    }

    /// Notes a failure and gives the wait, between half and the whole of the
    /// doubled time.
    pub fn next_ms(&mut self, random: &mut rand::rngs::SmallRng) -> u64 {
        let doubled_ms = self.base_ms.saturating_mul(1 << self.failure_count.min(20));
        self.failure_count = self.failure_count.saturating_add(1);
        let wait_limit_ms = doubled_ms.min(self.limit_ms).max(1);
        random.random_range(wait_limit_ms.div_ceil(2)..=wait_limit_ms)
    }
}
