//! A caller's request.

/// A caller's request. The caller may send it more than once.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    /// Number of attempts since the caller last sent the request.
    pub(super) attempt_count: u32,
    /// Time at which the caller first sent the request.
    pub(super) first_sent_ms: u64,
    /// Index of the attempt in flight.
    pub(super) current_attempt: Option<usize>,
    /// Whether the caller has the final response or has given up.
    pub(super) is_over: bool,
    /// Time at which the caller stops waiting.
    pub(super) deadline_ms: u64,
    /// Whether one of the attempts was a probe of a suspected server.
    pub(super) used_probe: bool,
    /// Whether a server may have run the request.
    pub(super) may_have_run: bool,
    /// Number of times that the caller has sent the request.
    pub(super) sent_count: u32,
    /// Time at which the caller last sent the request.
    pub(super) sent_ms: u64,
    /// Run time on a healthy server, in milliseconds.
    pub(super) run_ms: f64,
    /// Index of the service.
    pub(super) service: usize,
    /// Incarnations of the servers tried since the caller last sent the request.
    pub(super) tried_incarnations: Vec<u64>,
    /// Index of the entry VM that receives the request.
    pub(super) vm: usize,
}
