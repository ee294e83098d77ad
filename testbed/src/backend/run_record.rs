//! Run of a request on a backend server.

use crate::backend;

/// Run of a request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RunRecord {
    /// Outcome of the run.
    pub finished: backend::RunOutcome,
    /// SHA-256 of the request body.
    pub fingerprint: String,
    /// Idempotency key; `None` if the request had none.
    pub idempotency_key: Option<String>,
    /// Id of the request.
    pub request_id: String,
    /// Number of the run on this server, from 0.
    pub run: u64,
    /// Name of the server.
    pub server: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}
