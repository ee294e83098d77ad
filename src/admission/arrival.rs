//! Request that arrives at a service gate.

/// Request that arrives at a [`ServiceGate`](crate::admission::ServiceGate).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time at which the caller stops waiting, in milliseconds of the gate's
    /// clock.
    pub deadline_ms: u64,
    /// Expected run time of the request, in milliseconds.
    pub expected_run_ms: u64,
    /// Time to the deadline that a queued request needs when it starts, in
    /// milliseconds, if this is more than its expected run time requires.
    pub needed_ms: u64,
    /// Organisation of the caller.
    pub organisation: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Id of the request, unique on this entry VM.
    pub request_id: u64,
    /// Time at which the request is admitted without capacity, in milliseconds
    /// of the gate's clock; `None` if it waits for capacity until it is late.
    pub send_by_ms: Option<u64>,
    /// Share of the capacity that the organisation gets, relative to the other
    /// organisations of its priority; at least 1.
    pub weight: u64,
}
