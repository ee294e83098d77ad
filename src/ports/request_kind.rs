//! Whether the requests of a route may run more than once.

/// Whether the requests of a route may run more than once, and how large they are.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The request has a large body and runs at most once.
    Upload,
    /// The request has a large response and may run more than once.
    Download,
    /// A kind that this build does not know. The request runs at most once, which is
    /// safe for every kind.
    Unknown,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }

    /// Returns whether a request or its response is large.
    #[must_use]
    pub const fn is_large(self) -> bool {
        matches!(self, Self::Download | Self::Upload)
    }
}
