//! Decisions of a service gate.

use crate::verdict;

/// Decision of a [`ServiceGate`](crate::admission::ServiceGate) about a
/// request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Sends the request to a backend server.
    Admit {
        /// Id of the request.
        request_id: u64,
    },
    /// Sends the caller its final response.
    Refuse {
        /// Refusal to send to the caller.
        refusal: verdict::Refusal,
        /// Id of the request.
        request_id: u64,
    },
}
