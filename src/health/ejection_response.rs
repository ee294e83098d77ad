//! The decider's answer to a request for an ejection.

use crate::health;

/// The decider's answer to a request for an ejection.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum EjectionResponse {
    /// The server may be ejected.
    Granted {
        /// When the entry VM asked, in milliseconds of the entry VM's clock.
        #[serde(rename = "asked_ms")]
        requested_ms: u64,
        /// The server to eject.
        server_id: String,
        /// Validity in milliseconds from the moment of asking.
        valid_ms: u64,
    },
    /// The server may not be ejected.
    Refused {
        /// Why not.
        reason: health::EjectionRefusal,
        /// When asking again may help, in milliseconds.
        retry_after_ms: u64,
        /// The server that was asked about.
        server_id: String,
    },
}
