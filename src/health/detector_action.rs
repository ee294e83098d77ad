//! What the detector asks for.

use crate::health;

/// What the detector asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorAction {
    /// Ask the service's decider for an ejection, or for its renewal.
    RequestEjection {
        evidence: health::Evidence,
        server_id: String,
    },
    /// Report that only this entry VM cannot reach the server well.
    PathFault { server_id: String },
    /// Give the ejection up: the server is tried again with a trickle.
    Readmit { server_id: String },
    /// Send what this entry VM saw to the other entry VMs.
    SendSummary { summary: health::Summary },
    /// Send this server so much of its usual share of work: 1000 is all.
    SetWeight {
        server_id: String,
        weight_permille: u32,
    },
}
