//! State of a request in a dispatcher's client.

/// State of a request in a [`GrantClient`](crate::balancing::GrantClient).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GrantState {
    /// A slot was requested and the dispatcher has not replied yet.
    Requested {
        /// Time at which the latest request for a slot was sent.
        requested_at_ms: u64,
    },
    /// The dispatcher granted a slot.
    Granted,
    /// This VM's own picker chooses the server.
    OwnPicker {
        /// Whether the dispatcher may have reserved a slot for the request.
        may_hold_slot: bool,
    },
    /// The request waits in the queue of the dispatcher.
    Queued {
        /// Time at which the slot is requested again, in case the dispatcher
        /// has failed or restarted.
        retry_at_ms: u64,
    },
}
