//! Attempt of a caller.

/// Attempt of a caller. A retry of the caller is a new request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival at the entry VM.
    pub arrived_us: u64,
    /// Number of attempts that the caller may make after this one.
    pub attempts_left: u32,
    /// Time at which the caller stops waiting.
    pub deadline_us: u64,
    /// Number of times that a server did not run the request.
    pub failed_sends: u32,
    /// Whether the caller has a response or has stopped waiting.
    pub is_done: bool,
    /// Index of the caller's organisation.
    pub organisation: usize,
    /// Run time of the request.
    pub run_us: u64,
    /// Number of times that the request was sent to a server.
    pub sends: u32,
    /// Index of the server that has the request.
    pub server: Option<usize>,
    /// Index of the server that last failed to run the request and must not be
    /// chosen again.
    pub excluded: Option<usize>,
    /// Index of the entry VM.
    pub vm: usize,
}
