//! The record of a key at its witness.

use crate::claims;

/// Record of a key at its witness.
#[derive(Clone, Debug)]
pub enum WitnessRecord {
    /// The leaving home handed over the response of the key.
    Answered(claims::StoredResponse),
    /// The claim was granted, so the key may have run.
    Granted,
    /// The key never ran and will never run.
    Sealed,
}

impl WitnessRecord {
    /// Returns the memory of the stored response, 0 without one.
    pub fn response_bytes(&self) -> usize {
        match self {
            Self::Answered(response) => response.size_bytes(),
            Self::Granted | Self::Sealed => 0,
        }
    }
}
