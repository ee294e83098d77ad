//! How a run ended.

use crate::claims;
use crate::verdict;

/// How the one run of a key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It was answered whole; the answer is kept.
    Answered(claims::StoredAnswer),
    /// It was answered whole, but the answer is too large to keep.
    AnsweredNotStored,
    /// No whole answer came and the request may have run.
    MayHaveRun(verdict::Refusal),
    /// There is proof that the request did not run. The key is closed.
    NotRun(verdict::Refusal),
}
