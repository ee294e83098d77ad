//! JSON body of a response.

/// JSON body of a response.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ResponseBody {
    /// Length of the received request body, in bytes.
    pub body_bytes: u64,
    /// SHA-256 of the received request body, in hexadecimal digits.
    pub body_sha256: String,
    /// Id of the request that the response belongs to.
    pub request_id: String,
    /// Number of times that this server has run the idempotency key, or the
    /// request id of a request without a key, this run included.
    pub run_count: u64,
    /// Name of the server.
    pub server: String,
}
