//! How far a request has got with its dispatcher.

/// How far a request has got with its dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GrantState {
    /// Asked, and nothing was heard yet.
    Requested {
        /// When the latest question was sent.
        requested_at_ms: u64,
    },
    /// It runs on a granted slot.
    Granted,
    /// This VM's own picker chose the server.
    OwnPicker {
        /// Whether the dispatcher may hold a slot for it.
        may_hold_slot: bool,
    },
    /// It waits in the dispatcher.
    Queued {
        /// When to ask again, in case the dispatcher is gone.
        retry_at_ms: u64,
    },
}
