//! The outcome of a run.

use crate::claims;
use crate::verdict;

/// Outcome of the only run of a key, as the driver reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The response arrived completely and is small enough to be stored.
    Answered(claims::StoredResponse),
    /// The response arrived completely, but is too large to be stored.
    AnsweredNotStored,
    /// No complete response arrived, and the request may have run.
    MayHaveRun(verdict::Refusal),
    /// The request provably did not run. The key is closed.
    NotRun(verdict::Refusal),
}
