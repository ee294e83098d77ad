//! Score of outcomes with one server.

/// Score of outcomes with one server, in thousandths of a nat. A positive score
/// is evidence of a fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Score {
    pub(super) failed_count: u64,
    pub(super) failure_milli: i64,
    pub(super) latency_milli: i64,
    pub(super) outcome_count: u64,
    pub(super) slow_count: u64,
}

impl Score {
    pub(super) fn is_suspicious(&self) -> bool {
        self.failure_milli > 0 || self.latency_milli > 0
    }
}
