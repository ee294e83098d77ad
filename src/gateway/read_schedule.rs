//! Schedule of this VM's reads of a feed of the platform's store.

/// Maximum pause after a failed read, in milliseconds, before jitter.
const MAX_BACKOFF_MS: u64 = 1_600;

/// Schedule of this VM's reads of a feed of the platform's store.
///
/// A few VMs of each region, the readers, read the feed continually. The other
/// VMs get the state from the readers and read the feed only when their state is
/// stale. While the store does not respond, all VMs read with exponential backoff.
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
    /// Creates a schedule whose first read is due at `jitter_ms`. By then, most VMs
    /// have pulled the state from a peer.
    ///
    /// A reader pauses for `interval_ms` between reads. Any other VM reads when its
    /// state is older than `stale_ms` plus `jitter_ms`.
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

    /// Returns whether to start a read now.
    ///
    /// `confirmed_ms` is when this VM's state was last known to be up to date; `None`
    /// if it never was.
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

    /// Records that a read has begun.
    pub const fn begin_read(&mut self) {
        self.is_reading = true;
    }

    /// Records that the read ended, and whether the store responded. Returns `true`
    /// if the store became unavailable or available again with this read.
    pub fn end_read(&mut self, now_ms: u64, has_responded: bool) -> bool {
        self.is_reading = false;
        let was_lost = self.failure_count > 0;
        if has_responded {
            self.failure_count = 0;
            self.next_read_ms = now_ms + self.interval_ms;
            return was_lost;
        }
        self.failure_count = self.failure_count.saturating_add(1);
        let backoff_ms = self.interval_ms.max(100) << self.failure_count.min(4);
        self.next_read_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS) + self.jitter_ms / 2;
        !was_lost
    }

    /// Returns whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failure_count > 0
    }
}
