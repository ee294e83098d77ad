//! A service of a scenario with its servers and its load.

/// A service of a scenario with its servers and its load.
///
/// Each server has gray spells: periods in which it fails more of its requests
/// than usual.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShape {
    /// Share of requests that fail on a healthy server.
    pub error_share: f64,
    /// Share of the servers that are in a gray spell at any time.
    pub gray_share: f64,
    /// Duration of a gray spell, in milliseconds.
    pub gray_spell_ms: u64,
    /// Share of requests that fail on a server in a gray spell.
    pub gray_failure_share: f64,
    /// Whether requests of the service may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of servers that a request is sent to.
    pub max_attempts: u32,
    /// Name of the service.
    pub name: String,
    /// Number of requests that a server queues; it refuses further ones.
    pub queue_count: usize,
    /// Requests per second of all callers together.
    pub requests_per_s: f64,
    /// Mean run time, in milliseconds.
    pub run_mean_ms: f64,
    /// Standard deviation of the logarithm of the run time.
    pub run_spread: f64,
    /// Servers in each availability zone.
    pub servers_per_zone: usize,
    /// Number of requests that a server runs at the same time.
    pub slot_count: usize,
    /// Time after which a response counts as late, in milliseconds.
    pub target_latency_ms: u64,
    /// Time after which the caller stops waiting, in milliseconds.
    pub timeout_ms: u64,
}
