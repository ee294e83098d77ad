//! Settings of at-most-once execution.

/// Settings of at-most-once execution: time limits and table sizes.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimsConfig {
    /// Maximum size of a response that is stored for repeated requests,
    /// including headers, in bytes.
    pub answer_limit_bytes: usize,
    /// Maximum number of attempts that wait on this VM at the same time.
    pub attempt_limit_requests: usize,
    /// Time within which the witness must grant a claim, in milliseconds.
    pub claim_timeout_ms: u64,
    /// Minimum time between two epochs, in milliseconds.
    pub epoch_ms: u64,
    /// Maximum size of the hand-over message of a leaving home, in bytes.
    pub hand_over_limit_bytes: usize,
    /// Maximum size of the keys and responses stored as home, in bytes.
    pub home_limit_bytes: usize,
    /// Maximum number of keys stored as home.
    pub home_limit_keys: usize,
    /// Time for which new keys are accepted under a prefix after its epoch has
    /// ended, in milliseconds. Must be at least the lifetime of entry-point
    /// responses.
    pub prefix_lifetime_ms: u64,
    /// Time for which keys are stored, in milliseconds.
    pub retention_ms: u64,
    /// Minimum retry-after time in a refusal, in milliseconds. The jitter adds
    /// up to the same amount.
    pub retry_after_ms: u64,
    /// Part of the time to an attempt's deadline that is reserved for calling
    /// the witness, in milliseconds.
    pub seal_timeout_ms: u64,
    /// Maximum number of homes that this VM serves as witness.
    pub witness_limit_homes: usize,
    /// Maximum size of the keys and responses stored as witness, in bytes.
    pub witness_limit_bytes: usize,
    /// Maximum number of keys stored as witness.
    pub witness_limit_keys: usize,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            answer_limit_bytes: 65_536,
            attempt_limit_requests: 10_000,
            claim_timeout_ms: 250,
            epoch_ms: 60_000,
            hand_over_limit_bytes: 262_144,
            home_limit_bytes: 67_108_864,
            home_limit_keys: 200_000,
            prefix_lifetime_ms: 300_000,
            retention_ms: 900_000,
            retry_after_ms: 200,
            seal_timeout_ms: 250,
            witness_limit_bytes: 67_108_864,
            witness_limit_homes: 16_384,
            witness_limit_keys: 200_000,
        }
    }
}
