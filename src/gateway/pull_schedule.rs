//! Decides from which entry VM this VM pulls newer state, and when.

/// Time for which an outdated VM waits for a VM of its own region before it pulls
/// from another region, in milliseconds.
///
/// Newer state spreads within a region in three rounds of announcements, each a
/// quarter of this time.
const CROSS_REGION_WAIT_MS: u64 = 600;

/// Decides from which entry VM this VM pulls newer state, and when.
///
/// Load pattern: a new configuration has 1,500 routes, and fifty VMs of a region
/// receive the announcement from another region at the same time. If each of them
/// pulled from that region, the link between the regions would be saturated for
/// seconds, and no VM would get the configuration in time. Therefore, a few VMs
/// pull from the other region, and the other VMs wait until they can pull from
/// these.
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
    /// Whether this VM may pull from another region without waiting, because it
    /// reads the store for its region or has no configuration yet.
    pub can_pull_across_regions: bool,
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
        let has_waited = now_ms >= behind_since_ms + CROSS_REGION_WAIT_MS;
        let should_pull = !self.is_pulling
            && (candidate.is_same_region || candidate.can_pull_across_regions || has_waited);
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
