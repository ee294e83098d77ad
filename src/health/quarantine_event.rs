//! Events that the quarantine handles.

use crate::health;

/// Events that the quarantine handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// A server responded to a request whose fingerprint is a suspect.
    Answered { fingerprint: u64 },
    /// Another entry VM reported a crash.
    PeerSummary(health::QuarantineSummary),
    /// A server crashed while it ran a request: the connection broke and the
    /// server refuses new ones. `ran_ms` is the time from sending the request
    /// to the break.
    ServerCrashed {
        fingerprint: u64,
        ran_ms: u64,
        server_id: String,
    },
    /// A scheduled wake-up is due.
    Tick,
}
