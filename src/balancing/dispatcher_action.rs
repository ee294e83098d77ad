//! Decisions of a dispatcher.

use crate::verdict;

/// Message of a [`Dispatcher`](crate::balancing::Dispatcher) to an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatcherAction {
    /// Allows the entry VM to send the request to the server.
    Grant {
        /// Id of the message that this one replies to.
        message_id: u64,
        /// Id of the request.
        request_id: u64,
        /// Id of the server.
        server_id: String,
        /// Identifier of the receiving entry VM, such as its peer address.
        to: String,
        /// Time within which the request must be sent, in milliseconds.
        valid_ms: u64,
    },
    /// Reports that the request is queued for a slot. A `Grant` or `Refuse`
    /// follows later.
    Queued {
        /// Id of the message that this one replies to.
        message_id: u64,
        /// Id of the request.
        request_id: u64,
        /// Identifier of the receiving entry VM, such as its peer address.
        to: String,
    },
    /// Refuses the request, because it does not get a slot in time.
    Refuse {
        /// Id of the message that this one replies to.
        message_id: u64,
        /// Refusal to send to the caller.
        refusal: verdict::Refusal,
        /// Id of the request.
        request_id: u64,
        /// Identifier of the receiving entry VM, such as its peer address.
        to: String,
    },
}
