//! Result of an attempt.

use crate::{backend, caller};

/// Result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Response of the server, if one arrived.
    pub response: Option<backend::ResponseBody>,
    /// Outcome of the attempt.
    pub outcome: caller::AttemptOutcome,
}

impl AttemptResult {
    /// Creates the result of an attempt without a response.
    #[must_use]
    pub const fn without_response(outcome: caller::AttemptOutcome) -> Self {
        Self {
            response: None,
            outcome,
        }
    }
}
