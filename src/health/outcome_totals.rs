//! Outcomes of one entry VM with all servers of a service.

/// Outcomes of one entry VM with all servers of a service, as sums since the VM
/// started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OutcomeTotals {
    /// Number of outcomes that failed or were invalid responses.
    pub failed_count: u64,
    /// Number of outcomes.
    pub outcome_count: u64,
    /// Number of responses slower than nearly all responses of the other
    /// servers.
    pub slow_count: u64,
}
