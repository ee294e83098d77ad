//! Actions that the quarantine requests.

use crate::health;

/// Actions that the quarantine requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineAction {
    /// Exclude the outcomes of this fingerprint from the detector's evidence
    /// against these servers.
    InvalidateEvidence {
        fingerprint: u64,
        server_ids: Vec<String>,
    },
    /// Send the summary to the other entry VMs.
    SendSummary { summary: health::QuarantineSummary },
}
