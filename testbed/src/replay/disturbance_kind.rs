//! What goes wrong.

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisturbanceKind {
    /// `strength` times as many requests come.
    Burst,
    /// The servers fail a part `strength` of their runs.
    Errors,
    /// The servers leave a part `strength` of their requests without an answer.
    Hang,
    /// The servers refuse a part `strength` of their requests.
    Refuse,
    /// Callers that failed or were refused send again at once, `strength` times.
    Repeat,
    /// The servers are `strength` times slower.
    Slow,
}
