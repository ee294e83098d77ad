//! The reply of the home to an attempt.

use crate::claims;
use crate::verdict;

/// Reply of the home to an attempt that it does not run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum HomeReply {
    /// Response of the only run of the key.
    Answer(claims::StoredResponse),
    /// The key names another incarnation of this VM, so only its witness may
    /// know whether it ran.
    AskWitness,
    /// Final refusal.
    Refused(verdict::Refusal),
}
