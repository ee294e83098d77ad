//! Refusal of a request of an organisation that has used up its allowance.

use std::fmt;

const MICRO_PER_MILLI: i64 = 1_000;

/// Refusal of a request of an organisation that has used up its allowance, and the
/// state that led to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceRefusal {
    /// VMs heard from recently, including this one.
    pub heard_count: usize,
    /// VMs that share the allowance, including this one.
    pub known_count: usize,
    /// Estimated level of the fleet's token bucket, in millionths of a request.
    pub level_micro: i64,
    /// Whether the request can be admitted as soon as the other VMs know of those that
    /// this VM has just admitted: within some hundred milliseconds.
    pub may_wait: bool,
    /// Requests that this VM may admit before the other VMs know of them, in
    /// millionths of a request.
    pub portion_micro: i64,
    /// Time after which the caller can be admitted, in milliseconds.
    pub retry_after_ms: u64,
}

impl fmt::Display for AllowanceRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "level_milli={} portion_milli={} known={} heard={} retry_after_ms={}",
            self.level_micro / MICRO_PER_MILLI,
            self.portion_micro / MICRO_PER_MILLI,
            self.known_count,
            self.heard_count,
            self.retry_after_ms,
        )
    }
}
