//! Schedule of the checkpoints that this VM appends.

use rand::Rng as _;

use crate::configs;

/// Schedule of the checkpoints that this VM appends.
///
/// A record must be covered by a checkpoint before it expires, otherwise the
/// state can no longer be rebuilt from the log. The first VM by rank appends the
/// checkpoint. If it fails to do so, the VM of the next rank does so a little
/// later.
#[derive(Clone, Debug)]
pub struct CheckpointScheduler {
    config: configs::CheckpointConfig,
    jitter_ms: u64,
    not_before_ms: u64,
}

impl CheckpointScheduler {
    /// Creates a scheduler with a random jitter from `random`.
    #[must_use]
    pub fn new(config: configs::CheckpointConfig, random: &mut rand::rngs::SmallRng) -> Self {
        let limit_ms = config.retention_ms / 100 * config.jitter_percent;
        Self {
            config,
            jitter_ms: random.random_range(0..=limit_ms),
            not_before_ms: 0,
        }
    }

    /// Returns the age of the oldest needed record at which a VM of `rank` (0 is
    /// the first) appends a checkpoint, in milliseconds. Returns `None` if a VM of
    /// this rank appends none.
    #[must_use]
    pub fn due_age_ms(&self, rank: u64) -> Option<u64> {
        if rank >= self.config.rank_limit {
            return None;
        }
        let percent = self.config.due_percent + rank * self.config.rank_step_percent;
        Some(self.config.retention_ms / 100 * percent + self.jitter_ms)
    }

    /// Returns whether to append a checkpoint at `now_ms` of the monotonic clock
    /// if the oldest needed record is `age_ms` old. After `true`, returns `false`
    /// until the retry wait is over.
    pub fn is_due(&mut self, now_ms: u64, rank: u64, age_ms: u64) -> bool {
        let due = self.due_age_ms(rank).is_some_and(|due| age_ms >= due);
        if !due || now_ms < self.not_before_ms {
            return false;
        }
        self.not_before_ms = now_ms + self.config.retry_ms;
        true
    }
}
