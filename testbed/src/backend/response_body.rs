//! The JSON body of an answer.

/// The JSON body of an answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ResponseBody {
    /// Length of the request body received, in bytes.
    pub body_bytes: u64,
    /// SHA-256 of the request body received, in hexadecimal digits.
    pub body_sha256: String,
    /// Id of the request that is answered.
    pub request_id: String,
    /// How many times this server ran the idempotency key.
    pub run_count: u64,
    /// Name of the server.
    pub server: String,
}
