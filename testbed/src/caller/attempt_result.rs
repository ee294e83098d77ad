//! What came of an attempt.

use crate::{backend, caller};

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The server's answer, if there was one.
    pub response: Option<backend::ResponseBody>,
    /// How the attempt ended.
    pub outcome: caller::AttemptOutcome,
}

impl AttemptResult {
    /// Gives an attempt that ended without a server's answer.
    #[must_use]
    pub const fn without_response(outcome: caller::AttemptOutcome) -> Self {
        Self {
            response: None,
            outcome,
        }
    }
}
