//! One request of a caller.

/// One request of a caller, with all its returns.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    /// Servers reached since the caller has last sent it.
    pub(super) arrivals_count: u32,
    /// When the caller has first sent it.
    pub(super) first_sent_ms: u64,
    /// Attempt that is under way.
    pub(super) current: Option<usize>,
    /// Whether the caller has its final answer or has left.
    pub(super) is_over: bool,
    /// Until when the caller waits.
    pub(super) limit_ms: u64,
    /// Whether a server was tried only to be seen in use.
    pub(super) has_probed: bool,
    /// Whether a server may have run it.
    pub(super) may_have_run: bool,
    /// How often the caller has sent it.
    pub(super) sent_count: u32,
    /// When the caller has last sent it.
    pub(super) sent_ms: u64,
    /// Its run time on a good server, in milliseconds.
    pub(super) run_ms: f64,
    /// The service.
    pub(super) service: usize,
    /// Lifetimes that were tried.
    pub(super) tried: Vec<u64>,
    /// The entry VM that has it.
    pub(super) vm: usize,
}
