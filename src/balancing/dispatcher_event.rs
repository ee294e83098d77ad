//! Events handled by a dispatcher.

use crate::balancing;

/// Event handled by a [`Dispatcher`](crate::balancing::Dispatcher).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatcherEvent {
    /// An entry VM requested a slot.
    GrantRequested {
        /// Time at which the caller stops waiting, in milliseconds of the
        /// dispatcher's clock: the arrival time of the message plus the
        /// remaining time stated in it.
        deadline_ms: u64,
        /// Id of a server that must not be chosen, such as one on which the
        /// request failed; `None` if any server may be chosen.
        excluded_server_id: Option<String>,
        /// Expected run time of the request, in milliseconds.
        expected_run_ms: u64,
        /// Identifier of the sending entry VM, such as its peer address.
        from: String,
        /// Id of this message, repeated in the replies to it.
        message_id: u64,
        /// Id of the request, unique on the entry VM.
        request_id: u64,
    },
    /// An entry VM returned a slot or cancelled its request for one.
    GrantReturned {
        /// Identifier of the sending entry VM, such as its peer address.
        from: String,
        /// Id of the request.
        request_id: u64,
    },
    /// The servers of the service changed.
    ServersChanged {
        /// All servers whose slots the dispatcher grants.
        servers: Vec<balancing::DispatcherServer>,
    },
    /// The time returned by `next_wakeup_ms` was reached.
    Tick,
}
