//! Events handled by a dispatcher's client.

use crate::verdict;

/// Event handled by a [`GrantClient`](crate::balancing::GrantClient).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantClientEvent {
    /// A request needs a slot of a server.
    GrantNeeded {
        /// Time at which the caller stops waiting, in milliseconds of this VM's
        /// clock.
        deadline_ms: u64,
        /// Id of a server that must not be chosen, such as one on which the
        /// request failed; `None` if any server may be chosen.
        excluded_server_id: Option<String>,
        /// Expected run time of the request, in milliseconds.
        expected_run_ms: u64,
        /// Id of the request, unique on this entry VM.
        request_id: u64,
    },
    /// The request ended or its caller disconnected.
    Finish {
        /// Id of the request.
        request_id: u64,
    },
    /// The dispatcher granted a slot.
    Granted {
        /// Id of the request.
        request_id: u64,
        /// Id of the server.
        server_id: String,
    },
    /// The dispatcher queued the request and will grant or refuse it later.
    Queued {
        /// Id of the request.
        request_id: u64,
    },
    /// The dispatcher refused the request.
    Refused {
        /// Refusal to send to the caller.
        refusal: verdict::Refusal,
        /// Id of the request.
        request_id: u64,
    },
    /// The time returned by `next_wakeup_ms` was reached.
    Tick,
}
