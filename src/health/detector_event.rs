//! What the detector learns.

use std::net;

use crate::health;

/// What the detector learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorEvent {
    /// A request that is now quarantined killed the server: what speaks
    /// against the server so far is not its fault.
    EvidenceInvalidated { server_id: String },
    /// An ejection holds on this entry VM until `until_ms` of its own clock.
    EjectionGranted { server_id: String, until_ms: u64 },
    /// An ejection is over: it expired or was given up.
    EjectionOver { server_id: String },
    /// The decider refused, or no decider answered.
    EjectionRefused {
        retry_after_ms: u64,
        server_id: String,
    },
    /// A request ended.
    Outcome(health::Outcome),
    /// Another entry VM tells what it saw.
    PeerSummary {
        from: net::SocketAddr,
        summary: health::Summary,
    },
    /// The servers of the service that are up, all of them.
    ServersChanged { servers: Vec<health::ServerState> },
    /// Time has passed.
    Tick,
}
