//! Outcome of one request to a backend server.

use crate::health;

/// Outcome of one request to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How the request ended.
    pub kind: health::OutcomeKind,
    /// Time in microseconds from sending the request to its end.
    pub latency_us: u64,
    /// Id of the server that the request was sent to.
    pub server_id: String,
}
