//! Request in the queue of a service gate.

use crate::admission;

/// Request that waits to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueuedRequest {
    /// The request as it arrived.
    pub(crate) arrival: admission::Arrival,
    /// Latest start time at which the request can still complete before its
    /// deadline.
    pub(crate) latest_start_ms: u64,
}
