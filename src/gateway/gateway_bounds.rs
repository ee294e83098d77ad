//! Bounds that the platform's contract sets.

/// Bounds that the platform's contract sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayBounds {
    /// Longest time that callers may keep an entry-point answer, in seconds.
    pub entry_point_lifetime_max_s: u64,
    /// Time between the request to stop and the end by force, in milliseconds.
    pub grace_ms: u64,
    /// Least part of a service's servers that must stay in use, in permille.
    pub min_share_permille: u64,
    /// Second attempts allowed to the fleet, in permille of the requests.
    pub retry_ratio_permille: u64,
    /// Second attempts allowed to the fleet besides, in each window.
    pub retry_slack_count: u64,
    /// Sliding window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
}
