//! What a dispatcher learns.

use crate::balancing;

/// What a dispatcher learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatcherEvent {
    /// An entry VM asks for a slot.
    GrantRequested {
        /// When the caller stops waiting, in milliseconds of the dispatcher's
        /// own clock: the time of arrival plus what the message says is left.
        deadline_ms: u64,
        /// Id of a server that the request must not go to, if any.
        excluded_server_id: Option<String>,
        /// Time that the request is expected to run, in milliseconds.
        expected_run_ms: u64,
        /// The entry VM.
        from: String,
        /// Id of this message, for its answer.
        message_id: u64,
        /// The request; unique on the entry VM.
        request_id: u64,
    },
    /// An entry VM gives a slot back or no longer wants one.
    GrantReturned {
        /// The entry VM.
        from: String,
        /// The request.
        request_id: u64,
    },
    /// The servers of the service have changed.
    ServersChanged {
        /// All servers that the dispatcher hands out.
        servers: Vec<balancing::DispatcherServer>,
    },
    /// The time of `next_wakeup_ms` has come.
    Tick,
}
