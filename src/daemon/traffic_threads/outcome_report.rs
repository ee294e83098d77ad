//! Report of a finished attempt to the control thread.

use crate::health;

/// Outcome of an attempt, sent from the traffic threads to the control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutcomeReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Outcome of the attempt.
    pub outcome: health::Outcome,
    /// Name of the service.
    pub service: String,
}
