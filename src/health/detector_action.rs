//! Actions that the detector requests.

use crate::health;

/// Actions that the detector requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DetectorAction {
    /// Request an ejection, or the renewal of one, from the service's decider.
    RequestEjection {
        evidence: health::Evidence,
        server_id: String,
    },
    /// Report that only this entry VM has a degraded path to the server.
    PathFault { server_id: String },
    /// Release the ejection and send the server a trickle of requests.
    Readmit { server_id: String },
    /// Send this entry VM's observations to the other entry VMs.
    SendSummary { summary: health::Summary },
    /// Set the share of its usual traffic that the server receives, in
    /// permille.
    SetWeight {
        server_id: String,
        weight_permille: u32,
    },
}
