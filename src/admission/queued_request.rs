//! Request in the queue of a service gate.

/// Request that waits to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueuedRequest {
    /// Time at which the caller stops waiting.
    pub(crate) deadline_ms: u64,
    /// Expected run time of the request, in milliseconds.
    pub(crate) expected_run_ms: u64,
    /// Latest start time at which the request can still complete before its
    /// deadline.
    pub(crate) latest_start_ms: u64,
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Id of the request.
    pub(crate) request_id: u64,
}
