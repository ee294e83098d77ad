//! Settings of the membership protocol.

/// Settings of the membership protocol: intervals, timeouts and message sizes.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Interval between probes of dead members, in milliseconds.
    pub dead_probe_period_ms: u64,
    /// Time after which a dead member is removed from the list, in
    /// milliseconds.
    pub dead_retention_ms: u64,
    /// Number of times that each VM sends a change to peers.
    pub gossip_transmissions: u32,
    /// Number of VMs that are requested to probe a member that did not respond.
    pub indirect_probes: usize,
    /// Timeout of a direct probe, in milliseconds.
    pub ping_timeout_ms: u64,
    /// Maximum size of the changes in one message, in bytes.
    pub piggyback_limit_bytes: usize,
    /// Interval between probes, in milliseconds. Must exceed `ping_timeout_ms`.
    pub probe_period_ms: u64,
    /// Maximum size of one repair message, in bytes.
    pub repair_limit_bytes: usize,
    /// Interval between comparisons of the member list with a peer, in
    /// milliseconds.
    pub repair_period_ms: u64,
    /// Time within which a suspected member must refute the suspicion, in
    /// milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Maximum size of one message of the state sent to a joining VM, in bytes.
    pub sync_limit_bytes: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            dead_probe_period_ms: 10_000,
            dead_retention_ms: 3_600_000,
            gossip_transmissions: 8,
            indirect_probes: 3,
            ping_timeout_ms: 300,
            piggyback_limit_bytes: 512,
            probe_period_ms: 1_000,
            repair_limit_bytes: 2_048,
            repair_period_ms: 10_000,
            suspicion_timeout_ms: 10_000, // at 5 s, live VMs were declared dead under 5 % packet loss
            sync_limit_bytes: 16_384,
        }
    }
}
