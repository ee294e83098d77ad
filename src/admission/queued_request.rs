//! A request that waits.

/// A request that waits to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueuedRequest {
    /// When the caller stops waiting.
    pub(crate) deadline_ms: u64,
    /// Time that the request is expected to run, in milliseconds.
    pub(crate) expected_run_ms: u64,
    /// Last time at which it is worth starting.
    pub(crate) latest_start_ms: u64,
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// The request.
    pub(crate) request_id: u64,
}
