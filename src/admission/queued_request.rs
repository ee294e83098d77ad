//! Request in the queue of a service gate.

use crate::admission;

/// Request that waits to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueuedRequest {
    /// The request as it arrived.
    pub(crate) arrival: admission::Arrival,
    /// Minimum time between the start and the deadline, in milliseconds.
    pub(crate) needed_ms: u64,
    /// Latest start time at which the request can still complete before its
    /// deadline.
    pub(crate) latest_start_ms: u64,
}
