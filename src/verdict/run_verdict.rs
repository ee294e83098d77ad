//! Verdict on whether a request may have run.

/// Verdict on whether a backend server may have run a request that got
/// no complete response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// A backend server may have run the request, completely or in part.
    MayHaveRun,
    /// No backend server ran the request, and none will run it under the same
    /// idempotency key.
    NotRun,
}

impl RunVerdict {
    /// Returns the value of the `x-foxtailwinch-verdict` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may-have-run",
            Self::NotRun => "not-run",
        }
    }
}
