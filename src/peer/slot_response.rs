//! A dispatcher's answer to an entry VM that asks for a slot.

use crate::verdict;

/// A dispatcher's answer to an entry VM that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum SlotResponse {
    /// The request has a slot on this server.
    Granted {
        /// The server.
        server_id: String,
    },
    /// The request waits; another answer follows.
    Queued,
    /// The request gets no slot in time.
    Refused(verdict::Refusal),
}
