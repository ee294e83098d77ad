//! A dispatcher's response to a slot request.

use crate::verdict;

/// A dispatcher's response to a [`SlotRequest`](crate::peer::SlotRequest).
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum SlotResponse {
    /// The request has a slot on a backend server.
    Granted {
        /// Id of the server.
        server_id: String,
    },
    /// The request is queued; a second response follows.
    Queued,
    /// The request is refused, because the queue is full or the request would
    /// not finish before its deadline.
    Refused(verdict::Refusal),
}
