//! From whom this VM takes newer knowledge.

/// Time for which a VM that is behind waits for one of its own region before it
/// should_pull another region, in milliseconds: news takes three rounds of a quarter
/// of that in a region.
const CROSS_REGION_WAIT_MS: u64 = 600;

/// From whom this VM takes newer knowledge.
///
/// Load pattern: a configuration of 1,500 routes, and fifty VMs of a region
/// that all hear of it from another region at once. If each of them asked
/// there, the link between the regions would be full for seconds and none would
/// have it in time; so a few ask, and the others wait for these.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullSchedule {
    behind_since_ms: Option<u64>,
    is_pulling: bool,
}

/// What one VM's news say, compared with what this VM knows.
#[derive(Clone, Copy, Debug)]
pub struct PullCandidate {
    /// Whether the sender knows more.
    pub is_newer: bool,
    /// Whether the sender is in this VM's region.
    pub is_same_region: bool,
    /// Whether this VM should_pull for its region: it follows the store, or knows
    /// nothing yet.
    pub can_pull_across_regions: bool,
}

impl PullSchedule {
    /// Takes in news. Gives whether to ask their sender now.
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

    /// Notes that the asked VM has answered, or has not.
    pub const fn end(&mut self, is_answered: bool) {
        self.is_pulling = false;
        if is_answered {
            self.behind_since_ms = None;
        }
    }
}
