//! Whether the requests of a route may run more than once.

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The request has a large body and runs at most once.
    Upload,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}
