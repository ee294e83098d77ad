//! Outcome of a run.

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The response was sent.
    Answered,
    /// The caller disconnected while the request ran.
    Cancelled,
    /// The process ended while the request ran.
    Crashed,
    /// The request ran and was answered with an error.
    Failed,
    /// The request ran to its end, and its response was withheld.
    Lost,
    /// The request is still running.
    Running,
    /// The response ended early.
    Truncated,
    /// The response of another request was sent.
    Wrong,
}
