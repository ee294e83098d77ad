//! How a key ended, for good.

use crate::claims;

/// How a key ended, for good.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum KeyOutcome {
    /// It ran and this is the answer.
    Answered(claims::StoredAnswer),
    /// It never ran and never will.
    Closed,
    /// It may have run and there is no answer to give.
    MayHaveRun,
}

impl KeyOutcome {
    /// Bytes of the answer, if there is one.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.size_bytes(),
            Self::Closed | Self::MayHaveRun => 0,
        }
    }
}
