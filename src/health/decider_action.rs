//! What the decider asks for.

use std::net;

use crate::health;

/// What the decider asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeciderAction {
    /// Send an answer.
    Respond {
        response: health::EjectionResponse,
        message_id: u64,
        to: net::SocketAddr,
    },
    /// Tell every entry VM to give an ejection up early. A hint: the floor
    /// does not depend on its arrival.
    Recall { server_id: String },
    /// Append a lease record with this term.
    RenewLease { term: u64 },
}
