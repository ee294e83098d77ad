//! What an entry VM's side of a dispatcher learns.

use crate::verdict;

/// What an entry VM's side of a dispatcher learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantClientEvent {
    /// A request needs a server.
    GrantNeeded {
        /// When the caller stops waiting, in milliseconds of this VM's clock.
        deadline_ms: u64,
        /// Id of a server that the request must not go to, if any.
        excluded_server_id: Option<String>,
        /// Time that the request is expected to run, in milliseconds.
        expected_run_ms: u64,
        /// The request; unique on this entry VM.
        request_id: u64,
    },
    /// The request has ended or its caller has gone.
    Finish {
        /// The request.
        request_id: u64,
    },
    /// The dispatcher has granted a slot.
    Granted {
        /// The request.
        request_id: u64,
        /// Id of the server.
        server_id: String,
    },
    /// The dispatcher has put the request into its queue, so an answer will
    /// come later.
    Queued {
        /// The request.
        request_id: u64,
    },
    /// The dispatcher has refused.
    Refused {
        /// The final answer for the caller.
        refusal: verdict::Refusal,
        /// The request.
        request_id: u64,
    },
    /// The time of `next_wakeup_ms` has come.
    Tick,
}
