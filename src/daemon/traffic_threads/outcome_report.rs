//! What the traffic threads tell the control thread of a finished attempt.

use crate::health;

/// How one attempt at a backend server ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutcomeReport {
    /// Hash of what the request asked for.
    pub fingerprint: u64,
    /// How it ended.
    pub outcome: health::Outcome,
    /// The service's name.
    pub service: String,
}
