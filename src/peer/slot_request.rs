//! Asks a service's dispatcher for a slot.

/// Asks a service's dispatcher for a slot of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRequest {
    /// A server that the request must not go to.
    pub excluded_server_id: Option<String>,
    /// Time that the request is expected to run, in milliseconds.
    pub expected_ms: u64,
    /// Time until the request must be answered, in milliseconds.
    pub left_ms: u64,
    /// The request; unique on the entry VM that asks.
    pub request_id: u64,
}
