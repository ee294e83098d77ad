//! A request for an ejection.

use crate::health;

/// A request for an ejection, from an entry VM to the service's decider.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EjectionRequest {
    /// When the entry VM asked, in milliseconds of its own clock. The answer
    /// carries it back.
    #[serde(rename = "asked_ms")]
    pub requested_ms: u64,
    /// What speaks for the ejection.
    pub evidence: health::Evidence,
    /// The server to eject.
    pub server_id: String,
}
