//! How a request to a backend server ended.

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum OutcomeKind {
    /// A whole answer to the request came.
    Answered,
    /// No connection could be made.
    ConnectFailed,
    /// The server answered with a 5xx status.
    Failed,
    /// The answer carried another request's id.
    Mismatched,
    /// No answer came in time.
    TimedOut,
    /// The answer broke off or its length did not match.
    Truncated,
}

impl OutcomeKind {
    /// Tells whether the answer was wrong, which a healthy server never gives.
    #[must_use]
    pub const fn is_invalid_response(self) -> bool {
        matches!(self, Self::Mismatched | Self::Truncated)
    }
}
