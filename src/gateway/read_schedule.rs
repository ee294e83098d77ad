//! Schedule of this VM's reads of a feed of the platform's store.

use crate::gateway;

/// Maximum pause of the preferred readers after a failed read, in milliseconds,
/// before jitter.
const MAX_BACKOFF_MS: u64 = 1_600;
/// Minimum unit of the pause after a failed read, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
/// Number of doublings of the pause after failed reads.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Number of VMs that share one preference: the pause after failed reads grows by
/// `MAX_BACKOFF_MS` for each such number of VMs that are preferred as readers.
const BACKOFF_GROUP_VM_COUNT: u64 = 8;
/// Time after the start after which a VM that got no state from a peer reads the
/// store itself, in milliseconds.
const STANDBY_START_MS: u64 = 1_500;
/// The same time at the most, in milliseconds, while peers that have the state are
/// too busy to send it.
const MAX_STANDBY_START_MS: u64 = 6_000;
/// Maximum time by which a peer with newer state postpones a read of the store, in
/// milliseconds.
const MAX_SOURCE_WAIT_MS: u64 = 4_000;
/// Multiple of the jitter that is added to `STANDBY_START_MS`.
const STANDBY_JITTER_FACTOR: u64 = 12;

/// Schedule of this VM's reads of a feed of the platform's store.
///
/// A few VMs of each region, the readers, read the feed continually. The other
/// VMs get the state from the readers and read the feed only when their state is
/// stale.
///
/// Load pattern: hundreds of VMs start at the same time, the store does not respond to
/// any of them, or a large configuration takes longer to spread than the state of a
/// VM may be old. If each VM read the store itself, the calls would grow
/// with the fleet, and the store would refuse those of the readers. Therefore, a VM
/// that has just started reads at once only if other VMs look for it as a seed, a VM
/// that is behind a peer waits for that peer, and the pause after failed reads grows
/// with the number of VMs that are preferred as readers.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    failed_ms: Option<u64>,
    failure_count: u32,
    interval_ms: u64,
    is_reading: bool,
    jitter_ms: u64,
    next_read_ms: u64,
    source_seen_ms: u64,
    stale_ms: u64,
}

impl ReadSchedule {
    /// Creates the schedule of a VM whose clock starts at 0 now.
    ///
    /// A reader pauses for `interval_ms` between reads. Any other VM reads when its
    /// state is older than `stale_ms` plus `jitter_ms`.
    #[must_use]
    pub const fn new(interval_ms: u64, stale_ms: u64, jitter_ms: u64) -> Self {
        Self {
            failed_ms: None,
            failure_count: 0,
            interval_ms,
            is_reading: false,
            jitter_ms,
            next_read_ms: 0,
            source_seen_ms: 0,
            stale_ms,
        }
    }

    /// Returns whether to start a read now.
    ///
    /// `confirmed_ms` is when this VM's state was last known to be up to date; `None`
    /// if it never was.
    #[must_use]
    pub fn is_due(
        &self,
        now_ms: u64,
        role: gateway::ReaderRole,
        confirmed_ms: Option<u64>,
    ) -> bool {
        if self.is_reading || now_ms < self.earliest_ms(role, confirmed_ms) {
            return false;
        }
        let Some(confirmed_ms) = confirmed_ms else {
            return now_ms >= self.first_read_ms(role);
        };
        let source_seen_ms = self.source_seen_ms.min(confirmed_ms + MAX_SOURCE_WAIT_MS);
        let current_ms = confirmed_ms.max(source_seen_ms);
        role.is_reader || now_ms > current_ms + self.stale_ms + self.jitter_ms
    }

    /// Records that a peer has the state that this VM lacks.
    pub const fn record_source(&mut self, now_ms: u64) {
        self.source_seen_ms = now_ms;
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
            self.failed_ms = None;
            self.failure_count = 0;
            self.next_read_ms = now_ms + self.interval_ms;
            return was_lost;
        }
        self.failed_ms = Some(now_ms);
        self.failure_count = self.failure_count.saturating_add(1);
        let doublings = self.failure_count.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = self.interval_ms.max(MIN_BACKOFF_MS) << doublings;
        self.next_read_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS) + self.jitter_ms / 2;
        !was_lost
    }

    /// Returns whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failure_count > 0
    }

    /// Returns when a VM without any state reads the store itself.
    fn first_read_ms(&self, role: gateway::ReaderRole) -> u64 {
        if role.is_seed {
            0
        } else if role.is_reader {
            gateway::ReaderRole::RANK_KNOWN_MS
        } else {
            let start_ms = self.source_seen_ms + STANDBY_START_MS;
            start_ms.min(MAX_STANDBY_START_MS) + self.jitter_ms * STANDBY_JITTER_FACTOR
        }
    }

    /// Returns the end of the pause after the last read.
    ///
    /// While no VM has read the store since this VM's last failure, the pause is
    /// longer for VMs that are not preferred as readers.
    fn earliest_ms(&self, role: gateway::ReaderRole, confirmed_ms: Option<u64>) -> u64 {
        let Some(failed_ms) = self.failed_ms else {
            return self.next_read_ms;
        };
        let is_readable_again = confirmed_ms.is_some_and(|confirmed_ms| confirmed_ms > failed_ms);
        if is_readable_again {
            return self.next_read_ms;
        }
        let group = role.preferred_count / BACKOFF_GROUP_VM_COUNT;
        self.next_read_ms + group * (MAX_BACKOFF_MS + self.jitter_ms)
    }
}
