//! Actions that the decider requests.

use std::net;

use crate::health;

/// Actions that the decider requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeciderAction {
    /// Send the response to an ejection request.
    Respond {
        response: health::EjectionResponse,
        message_id: u64,
        to: net::SocketAddr,
    },
    /// Request every entry VM to release an ejection before it expires. The floor
    /// does not depend on the delivery of this message.
    Recall { server_id: String },
    /// Append a lease record with this term.
    RenewLease { term: u64 },
}
