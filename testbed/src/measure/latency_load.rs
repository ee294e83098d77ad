//! Load under which a case is measured.

/// Load under which a case is measured.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LatencyLoad {
    /// Number of requests in flight.
    pub concurrency: u32,
    /// Time that the server takes for a request, in milliseconds.
    pub work_ms: u64,
}
