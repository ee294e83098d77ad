//! Two seconds of one service.

/// Two seconds of one service, by the time at which callers sent their
/// requests first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// Requests.
    pub request_count: u64,
    /// Failed requests.
    pub failed_count: u64,
    /// Requests that were answered after their target.
    pub late_count: u64,
    /// Requests that ended refused.
    pub refused_count: u64,
}

impl Window {
    /// Gives the requests that were answered in time.
    #[must_use]
    pub const fn on_time_count(&self) -> u64 {
        self.request_count - self.failed_count - self.late_count - self.refused_count
    }

    /// Adds another window.
    pub const fn add(&mut self, other: &Self) {
        self.request_count += other.request_count;
        self.failed_count += other.failed_count;
        self.late_count += other.late_count;
        self.refused_count += other.refused_count;
    }
}
