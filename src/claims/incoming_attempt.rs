//! An attempt that was received.

/// Attempt that the home received.
#[derive(Clone, Copy)]
pub struct IncomingAttempt {
    /// Time by which the home must reply, on the local clock.
    pub deadline_ms: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Id of the attempt.
    pub id: u64,
}
