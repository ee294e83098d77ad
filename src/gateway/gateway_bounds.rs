//! Limits set by the contract with the platform.

/// Limits set by the contract with the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayBounds {
    /// Requests of an organisation that the fleet may let through in each window
    /// beyond its allowance, in permille of the allowance in the window.
    pub allowance_overshoot_permille: u64,
    /// The same, as a number of requests in addition to
    /// `allowance_overshoot_permille`.
    pub allowance_slack_count: u64,
    /// Length of the sliding window of the allowances, in milliseconds.
    pub allowance_window_ms: u64,
    /// Maximum lifetime of an entry-point response at the callers, in seconds.
    pub entry_point_lifetime_max_s: u64,
    /// Time between the request to stop and the forced termination of the process,
    /// in milliseconds.
    pub grace_ms: u64,
    /// Minimum share of a service's servers that must stay in use, in permille.
    pub min_share_permille: u64,
    /// Retries allowed to the fleet in each window, in permille of its requests.
    pub retry_ratio_permille: u64,
    /// Retries allowed to the fleet in each window in addition to
    /// `retry_ratio_permille`.
    pub retry_slack_count: u64,
    /// Length of the sliding window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
}
