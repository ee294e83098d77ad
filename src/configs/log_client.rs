//! Settings of the client of the log service.

/// Settings of the client of the log service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogClientConfig {
    /// Maximum size of a response, in bytes.
    pub answer_limit_bytes: usize,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for receiving a complete response, in milliseconds.
    pub request_timeout_ms: u64,
}

impl Default for LogClientConfig {
    fn default() -> Self {
        Self {
            answer_limit_bytes: 64 * 1024 * 1024,
            connect_timeout_ms: 1_000,
            request_timeout_ms: 5_000,
        }
    }
}
