//! Events that the detector handles.

use std::net;

use crate::health;

/// Events that the detector handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorEvent {
    /// A request that is now quarantined crashed the server, so the evidence
    /// collected so far does not show a fault of the server.
    EvidenceInvalidated { server_id: String },
    /// This entry VM holds an ejection until `until_ms` of its own clock.
    EjectionGranted { server_id: String, until_ms: u64 },
    /// An ejection expired or was released.
    EjectionOver { server_id: String },
    /// The decider refused the ejection, or no decider responded.
    EjectionRefused {
        retry_after_ms: u64,
        server_id: String,
    },
    /// A request to a backend server ended.
    Outcome(health::Outcome),
    /// Another entry VM sent its observations.
    PeerSummary {
        from: net::SocketAddr,
        summary: health::Summary,
    },
    /// The complete list of the service's servers that are up.
    ServersChanged { servers: Vec<health::ServerState> },
    /// A scheduled wake-up is due.
    Tick,
}
