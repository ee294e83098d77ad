//! Decides from which entry VM this VM pulls newer state, and when.

/// Time for which an outdated VM waits for a VM of its own region before it pulls
/// from another region, in milliseconds.
///
/// Newer state spreads within a region in three rounds of announcements, each a
/// quarter of this time.
const CROSS_REGION_WAIT_MS: u64 = 600;
/// The same wait of a VM that has no state yet, in milliseconds.
///
/// The readers of a region read the complete state first, and it is the largest
/// transfer of all.
const FIRST_CROSS_REGION_WAIT_MS: u64 = 2_500;

/// Decides from which entry VM this VM pulls newer state, and when.
///
/// Load pattern: a new configuration has 1,500 routes, and fifty VMs of a region
/// receive the announcement from another region at the same time. If each of them
/// pulled from that region, the link between the regions would be saturated for
/// seconds, and no VM would get the configuration in time. Therefore, a few VMs
/// pull from the other region, and the other VMs wait until they can pull from
/// these. The same holds for the complete state of a large fleet that starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullSchedule {
    behind_since_ms: Option<u64>,
    is_pulling: bool,
}

/// An announcement of another VM, compared with the state of this VM.
#[derive(Clone, Copy, Debug)]
pub struct PullCandidate {
    /// Whether the sender's state is newer than this VM's.
    pub is_newer: bool,
    /// Whether the sender is in this VM's region.
    pub is_same_region: bool,
    /// Part of this VM in getting new state.
    pub puller: Puller,
}

/// Part of a VM in getting new state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Puller {
    /// The VM reads the store for its region, or is the seed from which others pull,
    /// and so may pull from another region without waiting.
    Reader,
    /// The VM has no configuration or no registry yet.
    Starting,
    /// The VM has an earlier state.
    Updating,
}

impl PullSchedule {
    /// Records an announcement and returns whether to pull from its sender now.
    ///
    /// If it returns `true`, the pull counts as running until [`Self::end_pull`].
    #[must_use]
    pub fn try_begin(&mut self, now_ms: u64, candidate: PullCandidate) -> bool {
        if !candidate.is_newer {
            return false;
        }
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let wait_ms = match candidate.puller {
            Puller::Reader => 0,
            Puller::Starting => FIRST_CROSS_REGION_WAIT_MS,
            Puller::Updating => CROSS_REGION_WAIT_MS,
        };
        let has_waited = now_ms >= behind_since_ms + wait_ms;
        let should_pull = !self.is_pulling && (candidate.is_same_region || has_waited);
        self.is_pulling |= should_pull;
        should_pull
    }

    /// Records that the pull ended, and whether the other VM responded.
    ///
    /// After a pull without a response, the wait for a VM of this VM's region still
    /// counts from the time at which this VM became outdated.
    pub const fn end_pull(&mut self, has_responded: bool) {
        self.is_pulling = false;
        if has_responded {
            self.behind_since_ms = None;
        }
    }
}
