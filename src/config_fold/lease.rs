//! Lease.

/// Lease as determined by the records of the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Lease {
    /// Expiry of the lease, in milliseconds since the Unix epoch by the log's
    /// clock.
    pub expires_unix_ms: u64,
    /// VM that holds the lease, with its incarnation.
    pub holder: String,
    /// Offset of the record that last renewed it.
    pub offset: u64,
    /// Term, which increases with each change of holder.
    pub term: u64,
}
