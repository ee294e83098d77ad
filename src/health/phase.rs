//! Phase of a server between service and ejection.

/// Phase of a server between service and ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The server receives no requests. The entry VM holds a grant until
    /// `until_ms` and renews it until `readmit_ms`.
    Ejected { readmit_ms: u64, until_ms: u64 },
    /// The server receives its usual share, or less while it is suspected.
    InService,
    /// The server receives a growing share after an ejection. `step` 0 is the
    /// trickle.
    Probation { since_ms: u64, step: usize },
}
