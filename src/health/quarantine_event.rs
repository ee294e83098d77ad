//! What the quarantine learns.

use crate::health;

/// What the quarantine learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// A server answered a request whose fingerprint is watched.
    Answered { fingerprint: u64 },
    /// Another entry VM tells its fingerprints.
    PeerSummary(health::QuarantineSummary),
    /// A server died while it ran a request: the connection broke and the
    /// server refuses new ones. `ran_ms` is the time from sending the request
    /// to the break.
    ServerCrashed {
        fingerprint: u64,
        ran_ms: u64,
        server_id: String,
    },
    /// Time has passed.
    Tick,
}
