//! Bounds on what a caller may send, and how slowly.

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RequestLimits {
    /// Time to send the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest body.
    pub max_body_bytes: u64,
    /// Largest head.
    pub max_header_bytes: usize,
}
