//! How a request to a backend server ended.

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum OutcomeKind {
    /// The server returned a complete response.
    Answered,
    /// No connection could be established.
    ConnectFailed,
    /// The server returned a 5xx status.
    Failed,
    /// The response carried the id of another request.
    Mismatched,
    /// No response arrived in time.
    TimedOut,
    /// The response broke off or its length did not match.
    Truncated,
}

impl OutcomeKind {
    /// Returns whether the response was invalid. A healthy server never returns
    /// an invalid response.
    #[must_use]
    pub const fn is_invalid_response(self) -> bool {
        matches!(self, Self::Mismatched | Self::Truncated)
    }
}
