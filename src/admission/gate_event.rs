//! Events handled by a service gate.

use crate::admission;

/// Event handled by a [`ServiceGate`](crate::admission::ServiceGate).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// A request arrived whose priority and weight are those of all others.
    Arrive {
        /// Time at which the caller stops waiting, in milliseconds of the
        /// gate's clock.
        deadline_ms: u64,
        /// Expected run time of the request, in milliseconds.
        expected_run_ms: u64,
        /// Organisation of the caller.
        organisation: String,
        /// Id of the request, unique on this entry VM.
        request_id: u64,
    },
    /// A request arrived that has a priority and a weight.
    ArriveWeighted(admission::Arrival),
    /// The caller disconnected. A queued request is dropped and a running
    /// request ends.
    Cancel {
        /// Id of the request.
        request_id: u64,
    },
    /// This entry VM's share of the service's capacity changed.
    CapacityChanged {
        /// Maximum number of requests that run concurrently.
        concurrent_requests: u32,
    },
    /// An admitted request ended, successfully or not.
    Finish {
        /// Id of the request.
        request_id: u64,
    },
    /// The number of requests that may run beyond the capacity, because they
    /// waited until their `send_by_ms`, changed.
    OverdueLimitChanged {
        /// Maximum number of such requests that run concurrently.
        overdue_requests: u32,
    },
    /// The bundle changed the queue limit. Requests that are already queued
    /// stay queued.
    QueueLimitChanged {
        /// Maximum number of queued requests.
        queue_limit_requests: u32,
    },
    /// The time returned by `next_wakeup_ms` was reached.
    Tick,
}
