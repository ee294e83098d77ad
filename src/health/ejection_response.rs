//! Response of the decider to an ejection request.

use crate::health;

/// Response of the decider to an ejection request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum EjectionResponse {
    /// The server may be ejected.
    Granted {
        /// Time of the request, in milliseconds of the requesting entry VM's
        /// clock.
        #[serde(rename = "asked_ms")]
        requested_ms: u64,
        /// Id of the server to eject.
        server_id: String,
        /// Validity in milliseconds, counted from `requested_ms`.
        valid_ms: u64,
    },
    /// The server may not be ejected.
    Refused {
        /// Reason for the refusal.
        reason: health::EjectionRefusal,
        /// Time in milliseconds after which a new request may succeed.
        retry_after_ms: u64,
        /// Id of the server that the request named.
        server_id: String,
    },
}
