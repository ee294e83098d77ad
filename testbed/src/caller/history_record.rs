//! Attempt recorded in a caller's history.

use foxtailwinch::verdict;

/// Attempt recorded in a caller's history.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HistoryRecord {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// SHA-256 of the request body.
    pub body_sha256: String,
    /// Destination of the attempt; `None` if no entry point was available.
    pub entry: Option<String>,
    /// Idempotency key; `None` if the request had none.
    pub key: Option<String>,
    /// Organisation of the request.
    pub organisation: String,
    /// Outcome of the attempt.
    pub outcome: String,
    /// Reason of the outcome, if it has one.
    pub reason: Option<String>,
    /// Id of the request.
    pub request_id: String,
    /// Number of the request in its run, from 0.
    pub request_index: u64,
    /// Name of the server that responded.
    pub server: Option<String>,
    /// Start of the attempt, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// End of the attempt, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Whether the request may have run, for attempts without a response.
    pub verdict: Option<verdict::RunVerdict>,
}
