//! Request parameters read from the headers.

use crate::http_io;

/// Request parameters read from the headers.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Whether the request crashes a server in the mode `crash-on-marked`.
    pub crash: bool,
    /// Time until the caller gives up, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Idempotency key of the request.
    pub idempotency_key: Option<String>,
    /// Id of the request; empty if the caller sent none.
    pub request_id: String,
    /// Run time that replaces the random one, in milliseconds.
    pub work_ms: Option<u64>,
}

impl RequestHead {
    /// Parses the request parameters from headers.
    #[must_use]
    pub fn from_headers(headers: &http::HeaderMap) -> Self {
        Self {
            crash: http_io::header(headers, "x-crash") == Some("true"),
            deadline_ms: http_io::header_u64(headers, "x-deadline-ms"),
            idempotency_key: http_io::header(headers, "idempotency-key").map(str::to_owned),
            request_id: http_io::header(headers, "x-request-id")
                .unwrap_or_default()
                .to_owned(),
            work_ms: http_io::header_u64(headers, "x-work-ms"),
        }
    }
}
