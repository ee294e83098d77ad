//! Size and time limits on requests.

/// Size and time limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RequestLimits {
    /// Time within which a caller must send the head of a request, in
    /// milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
}
