//! Limits on retries.

/// Limits on the retries of each service.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimits {
    /// Retries allowed for each hundred requests within the window.
    pub ratio_percent: u64,
    /// Retries allowed within the window regardless of the number of requests; all
    /// entry VMs share them equally.
    pub slack_count: u64,
    /// Sliding window in which requests and retries are counted, in seconds.
    pub window_s: u64,
}
