//! When this VM reads a feed of the platform's store.

/// Longest pause after failed reads, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_600;

/// When this VM reads a feed of the platform's store.
///
/// A few VMs of each region follow the feed; the others are told by them and
/// read only when what they know has grown old. While the store does not
/// answer, all of them try less and less often.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    failure_count: u32,
    interval_ms: u64,
    is_reading: bool,
    jitter_ms: u64,
    next_read_ms: u64,
    stale_ms: u64,
}

impl ReadSchedule {
    /// Gives a schedule whose first read is due after `jitter_ms`: most VMs
    /// then know from their peers what there is to read. A reader pauses
    /// `interval_ms` between reads; other VMs read when their knowledge is
    /// older than `stale_ms` and their own `jitter_ms`.
    #[must_use]
    pub const fn new(interval_ms: u64, stale_ms: u64, jitter_ms: u64) -> Self {
        Self {
            failure_count: 0,
            interval_ms,
            is_reading: false,
            jitter_ms,
            next_read_ms: jitter_ms,
            stale_ms,
        }
    }

    /// Tells whether to read now.
    #[must_use]
    pub fn is_due(&self, now_ms: u64, is_reader: bool, confirmed_ms: Option<u64>) -> bool {
        if self.is_reading || now_ms < self.next_read_ms {
            return false;
        }
        let Some(confirmed_ms) = confirmed_ms else {
            return true;
        };
        is_reader || now_ms > confirmed_ms + self.stale_ms + self.jitter_ms
    }

    /// Notes that a read has begun.
    pub const fn begin(&mut self) {
        self.is_reading = true;
    }

    /// Notes how the read ended. Tells whether the store was lost or regained.
    pub fn end(&mut self, now_ms: u64, is_answered: bool) -> bool {
        self.is_reading = false;
        let was_lost = self.failure_count > 0;
        if is_answered {
            self.failure_count = 0;
            self.next_read_ms = now_ms + self.interval_ms;
            return was_lost;
        }
        self.failure_count = self.failure_count.saturating_add(1);
        let backoff_ms = self.interval_ms.max(100) << self.failure_count.min(4);
        self.next_read_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS) + self.jitter_ms / 2;
        !was_lost
    }

    /// Tells whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failure_count > 0
    }
}
