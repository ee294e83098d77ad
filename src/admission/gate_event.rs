//! What a service's gate learns.

/// What a service's gate learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// A request has arrived.
    Arrive {
        /// When the caller stops waiting, in milliseconds of the gate's clock.
        deadline_ms: u64,
        /// Time that the request is expected to run, in milliseconds.
        expected_run_ms: u64,
        /// Organisation of the caller.
        organisation: String,
        /// The request; unique on this entry VM.
        request_id: u64,
    },
    /// The caller has gone: a waiting request is dropped, a running one ends.
    Cancel {
        /// The request.
        request_id: u64,
    },
    /// This entry VM's share of the service has changed.
    CapacityChanged {
        /// Requests that may run at a time.
        concurrent_requests: u32,
    },
    /// An admitted request has ended, however it went.
    Finish {
        /// The request.
        request_id: u64,
    },
    /// The bundle has another limit. Requests that wait already go on waiting.
    QueueLimitChanged {
        /// Requests that may wait.
        queue_limit_requests: u32,
    },
    /// The time of `next_wakeup_ms` has come.
    Tick,
}
