//! How a platform spells the headers that the gateway reads and sets.

use http::header;

/// How a platform spells the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Milliseconds that the caller, or the gateway behind it, still waits.
    pub deadline_ms: header::HeaderName,
    /// Lifetime that a request is meant for; others answer 421.
    pub expected_backend: header::HeaderName,
    /// Present when a backend server did not run the request.
    pub not_run: header::HeaderName,
    /// Names one attempt of a caller; echoed by backend servers.
    pub request_id: header::HeaderName,
    /// Signs a backend server's own answer.
    pub signature: header::HeaderName,
}
