//! Actions of a dispatcher's client.

use crate::verdict;

/// Action requested by a [`GrantClient`](crate::balancing::GrantClient).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantClientAction {
    /// Sends the caller its final response.
    Refuse {
        /// Refusal to send to the caller.
        refusal: verdict::Refusal,
        /// Id of the request.
        request_id: u64,
    },
    /// Requests a slot from the dispatcher. The message is idempotent.
    SendGrantRequest {
        /// Time at which the caller stops waiting, in milliseconds of this VM's
        /// clock.
        deadline_ms: u64,
        /// Id of a server that must not be chosen, such as one on which the
        /// request failed; `None` if any server may be chosen.
        excluded_server_id: Option<String>,
        /// Expected run time of the request, in milliseconds.
        expected_run_ms: u64,
        /// Id of the request.
        request_id: u64,
    },
    /// Returns the request's slot to the dispatcher, or cancels its request for
    /// one.
    SendGrantReturn {
        /// Id of the request.
        request_id: u64,
    },
    /// Lets this VM's own picker choose the server, because the dispatcher did
    /// not respond in time to this or to a recent request.
    UseOwnPicker {
        /// Id of the request.
        request_id: u64,
    },
    /// Sends the request to this server.
    UseServer {
        /// Id of the request.
        request_id: u64,
        /// Id of the server.
        server_id: String,
    },
}
