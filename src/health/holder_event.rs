//! What the holder of ejections learns.

use crate::health;

/// What the holder of ejections learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderEvent {
    /// The decider answered.
    Response(health::EjectionResponse),
    /// The decider wants the ejection given up early.
    Recall { server_id: String },
    /// The detector readmits the server.
    Release { server_id: String },
    /// The floor and the servers of the service that are up, all of them.
    ServiceChanged {
        floor_servers: u32,
        servers: Vec<health::ServerState>,
    },
    /// Time has passed.
    Tick,
}
