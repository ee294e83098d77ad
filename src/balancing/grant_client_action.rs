//! What an entry VM's side of a dispatcher decides.

use crate::verdict;

/// What an entry VM's side of a dispatcher decides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantClientAction {
    /// Give the caller its final answer.
    Refuse {
        /// The final answer.
        refusal: verdict::Refusal,
        /// The request.
        request_id: u64,
    },
    /// Ask the dispatcher for a slot; asking twice does no harm.
    SendGrantRequest {
        /// When the caller stops waiting, in milliseconds of this VM's clock.
        deadline_ms: u64,
        /// Id of a server that the request must not go to, if any.
        excluded_server_id: Option<String>,
        /// Time that the request is expected to run, in milliseconds.
        expected_run_ms: u64,
        /// The request.
        request_id: u64,
    },
    /// Tell the dispatcher that the request needs no slot, or no longer.
    SendGrantReturn {
        /// The request.
        request_id: u64,
    },
    /// Let this VM's own picker choose: the dispatcher cannot be reached.
    UseOwnPicker {
        /// The request.
        request_id: u64,
    },
    /// Send the request to this server.
    UseServer {
        /// The request.
        request_id: u64,
        /// Id of the server.
        server_id: String,
    },
}
