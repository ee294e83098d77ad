//! Ejection request.

use crate::health;

/// Ejection request from an entry VM to the service's decider.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EjectionRequest {
    /// Time of the request, in milliseconds of the entry VM's own clock. The
    /// response carries the same value.
    #[serde(rename = "asked_ms")]
    pub requested_ms: u64,
    /// Evidence for the ejection.
    pub evidence: health::Evidence,
    /// Id of the server to eject.
    pub server_id: String,
}
