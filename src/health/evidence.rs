//! Evidence for ejecting a server.

/// Evidence for ejecting a server.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evidence {
    /// Number of failed outcomes since the evidence began.
    pub failed_count: u64,
    /// Score of failures and invalid responses, in thousandths of a nat.
    pub failure_score_milli: i64,
    /// Score of slow responses, in thousandths of a nat.
    pub latency_score_milli: i64,
    /// Number of outcomes since the evidence began.
    pub outcome_count: u64,
    /// Number of slow responses since the evidence began.
    pub slow_count: u64,
    /// Number of entry VMs with outcomes since the evidence began.
    pub vm_count: u32,
}
