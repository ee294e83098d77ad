//! Settings of gray-failure detection, ejection and quarantine.

/// Settings of gray-failure detection, ejection and quarantine.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthConfig {
    /// Interval between summaries while a server is suspected, in milliseconds.
    pub alert_summary_interval_ms: u64,
    /// Maximum rate error of a monotonic clock, in parts per million.
    pub clock_rate_error_ppm: u64,
    /// Duration of the first ejection of a server, in milliseconds.
    pub ejection_base_ms: u64,
    /// Maximum duration of an ejection of a flapping server, in milliseconds.
    pub ejection_max_ms: u64,
    /// Maximum validity of one granted ejection, in milliseconds.
    pub grant_max_ms: u64,
    /// Time without an ejection after which a server's backoff is reset, in
    /// milliseconds.
    pub flap_memory_ms: u64,
    /// Duration of a lease of the ejection decider, in milliseconds.
    pub lease_duration_ms: u64,
    /// Maximum number of fingerprints in quarantine.
    pub quarantine_capacity_count: usize,
    /// Time after which a fingerprint is removed from quarantine, in
    /// milliseconds.
    pub quarantine_retention_ms: u64,
    /// Interval between summaries while no server is suspected, in
    /// milliseconds.
    pub quiet_summary_interval_ms: u64,
    /// Maximum age of the servers' states, in milliseconds. If they are older,
    /// the decider grants no ejection.
    pub state_max_age_ms: u64,
    /// Maximum age of another entry VM's summary, in milliseconds. Older
    /// summaries are ignored.
    pub summary_max_age_ms: u64,
    /// Factor by which a healthy server may be slower than the other servers of
    /// its service, in permille.
    pub tolerated_slowdown_permille: u64,
    /// Weight of a server that gets only a small number of requests, in
    /// permille.
    pub trickle_weight_permille: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            alert_summary_interval_ms: 100,
            clock_rate_error_ppm: 1_000,
            ejection_base_ms: 5_000,
            ejection_max_ms: 300_000,
            grant_max_ms: 2_000,
            flap_memory_ms: 600_000,
            lease_duration_ms: 10_000,
            quarantine_capacity_count: 4_096,
            quarantine_retention_ms: 600_000,
            quiet_summary_interval_ms: 1_000,
            state_max_age_ms: 5_000,
            summary_max_age_ms: 10_000,
            tolerated_slowdown_permille: 1_300,
            trickle_weight_permille: 50,
        }
    }
}
