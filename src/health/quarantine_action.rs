//! What the quarantine asks for.

use crate::health;

/// What the quarantine asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineAction {
    /// Leave the outcomes of this fingerprint out of the detector's evidence
    /// on these servers.
    InvalidateEvidence {
        fingerprint: u64,
        server_ids: Vec<String>,
    },
    /// Send this to the other entry VMs.
    SendSummary { summary: health::QuarantineSummary },
}
