//! Request for configuration records.

/// Request to another entry VM for configuration records.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PullRequest {
    /// Offset of the first record to return.
    pub from_offset: u64,
    /// Maximum total size of the returned records, in bytes.
    pub max_bytes: usize,
}
