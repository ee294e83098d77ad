//! Recent failures of one server.

/// Number of outcomes after which the counts are halved, so that older outcomes
/// count less.
const HALVING_COUNT: u32 = 2_048;

/// Recent failures of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    pub(super) failed_count: u32,
    pub(super) outcome_count: u32,
}

impl FailureRate {
    pub(super) fn add(&mut self, is_failed: bool) {
        self.failed_count += u32::from(is_failed);
        self.outcome_count += 1;
        if self.outcome_count >= HALVING_COUNT {
            self.failed_count /= 2;
            self.outcome_count /= 2;
        }
    }
}
