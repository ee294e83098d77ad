//! Events that the ejection holder handles.

use crate::health;

/// Events that the ejection holder handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderEvent {
    /// The decider responded to a request.
    Response(health::EjectionResponse),
    /// The decider recalls the ejection before it expires.
    Recall { server_id: String },
    /// The detector readmits the server.
    Release { server_id: String },
    /// The floor and the complete list of the service's servers that are up.
    ServiceChanged {
        floor_servers: u32,
        servers: Vec<health::ServerState>,
    },
    /// A scheduled wake-up is due.
    Tick,
}
