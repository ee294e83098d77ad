//! The reply of a witness to a seal.

use crate::claims;

/// Reply of a witness to a seal.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum SealReply {
    /// The key ran, and the leaving home handed over this response.
    Answer(claims::StoredResponse),
    /// The key was claimed, or the witness does not know whether it was.
    MayHaveRun,
    /// The key never ran and will never run.
    NotRun,
}
