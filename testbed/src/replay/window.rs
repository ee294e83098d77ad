//! Counts of one service in a window of two seconds.

/// Counts of one service in a window of two seconds. A request is counted in
/// the window in which its caller first sent it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// All requests.
    pub request_count: u64,
    /// Requests that failed or timed out.
    pub failed_count: u64,
    /// Requests that were served after the target latency of the service.
    pub late_count: u64,
    /// Requests whose last response was a refusal.
    pub refused_count: u64,
}

impl Window {
    /// Returns the number of requests that were served within the target latency.
    #[must_use]
    pub const fn on_time_count(&self) -> u64 {
        self.request_count - self.failed_count - self.late_count - self.refused_count
    }

    /// Adds the counts of another window.
    pub const fn add(&mut self, other: &Self) {
        self.request_count += other.request_count;
        self.failed_count += other.failed_count;
        self.late_count += other.late_count;
        self.refused_count += other.refused_count;
    }
}
