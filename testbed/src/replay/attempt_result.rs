//! How a run at a server ends.

/// How a run at a server ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptResult {
    /// With a good answer.
    Answered,
    /// With the server's own failure.
    Failed,
    /// Not at all.
    Hung,
    /// It never began: the server refused the request.
    Refused,
}
