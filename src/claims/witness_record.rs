//! What the witness knows of a key.

use crate::claims;

/// What the witness knows of a key.
#[derive(Clone, Debug)]
pub enum WitnessRecord {
    /// The home new_record over its answer.
    Answered(claims::StoredAnswer),
    /// Its claim was granted: it may have run.
    Granted,
    /// It never ran and never will.
    Sealed,
}

impl WitnessRecord {
    /// Bytes of the kept answer.
    pub fn answer_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.size_bytes(),
            Self::Granted | Self::Sealed => 0,
        }
    }
}
