//! Outcomes that one entry VM observed with one backend server.

/// Outcomes that one entry VM observed with one backend server, as sums since
/// the VM started.
///
/// Because these are sums, a summary may be lost, duplicated or reordered: the
/// receiver adds only the difference from the newest summary it has.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServerSummary {
    /// Number of outcomes that failed or were invalid responses.
    pub failed_count: u64,
    /// Sum of failure scores, in thousandths of a nat.
    pub failure_sum_milli: i64,
    /// Whether the sender has ejected the server.
    pub is_ejected: bool,
    /// Sum of latency scores, in thousandths of a nat.
    pub latency_sum_milli: i64,
    /// Number of outcomes.
    pub outcome_count: u64,
    /// Id of the server within its service.
    pub server_id: String,
    /// Number of responses slower than nearly all responses of the other
    /// servers.
    pub slow_count: u64,
}
