//! The witness's reply to a seal.

use crate::claims;

/// The witness's reply to a seal.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum SealReply {
    /// The leaving home new_record over this answer.
    Answer(claims::StoredAnswer),
    /// The key was claimed, or the witness cannot tell.
    MayHaveRun,
    /// The key never ran and never will.
    NotRun,
}
