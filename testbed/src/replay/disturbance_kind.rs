//! Kind of disturbance.

/// Kind of disturbance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisturbanceKind {
    /// Callers send `strength` times as many requests.
    Burst,
    /// The servers fail at least a share `strength` of their requests.
    Errors,
    /// The servers never respond to a share `strength` of their requests.
    Hang,
    /// The servers refuse a share `strength` of their requests.
    Refuse,
    /// Callers resend failed and refused requests after 1 ms, up to `strength`
    /// times.
    Repeat,
    /// The run times of the servers are `strength` times as long.
    Slow,
}
