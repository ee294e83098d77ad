//! Result of an attempt at a backend server.

/// Result of an attempt at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptResult {
    /// The server returned a successful response.
    Answered,
    /// The server returned an error after it had begun the request.
    Failed,
    /// The server never responds.
    Hung,
    /// The server refused the request without running it.
    Refused,
}
