//! Lease record in the platform's log.

/// Lease record in the platform's log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LeaseRecord {
    /// Duration of the lease in milliseconds.
    pub duration_ms: u64,
    /// Process that takes the lease: its address and incarnation.
    pub holder: String,
    /// Name of the lease.
    pub name: String,
    /// Increases by one each time the lease is taken or renewed. Of two records
    /// with the same term, the later one is void.
    pub term: u64,
}
