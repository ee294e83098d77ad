//! The final outcome of a key.

use crate::claims;

/// Final outcome of a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum KeyOutcome {
    /// The key ran and this is the response.
    Answered(claims::StoredResponse),
    /// The key never ran and will never run.
    Closed,
    /// The key may have run, and there is no stored response.
    MayHaveRun,
}

impl KeyOutcome {
    /// Returns the memory of the stored response, 0 without one.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        match self {
            Self::Answered(response) => response.size_bytes(),
            Self::Closed | Self::MayHaveRun => 0,
        }
    }
}
