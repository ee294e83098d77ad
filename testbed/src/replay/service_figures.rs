//! Results of one service under one policy.

use crate::replay;

/// Results of one service under one policy.
#[derive(Clone, Debug, Default)]
pub struct ServiceFigures {
    /// Attempts sent to servers, retries included.
    pub attempt_count: u64,
    /// Attempts sent to servers of another region.
    pub cross_region_count: u64,
    /// Total time between the sending of refused requests and their refusals, in
    /// milliseconds.
    pub held_ms: u64,
    /// Name of the service.
    pub name: String,
    /// Attempts sent only to keep a suspected server in use.
    pub probe_count: u64,
    /// Retries.
    pub retry_count: u64,
    /// Largest share of the servers without a request in any window in which more
    /// than a tenth and less than half of the requests were not served.
    pub worst_idle_share: f64,
    /// Counts in consecutive windows of two seconds.
    pub windows: Vec<replay::Window>,
}

impl ServiceFigures {
    /// Returns the sum of all windows.
    #[must_use]
    pub fn total(&self) -> replay::Window {
        let mut total = replay::Window::default();
        for window in &self.windows {
            total.add(window);
        }
        total
    }

    /// Returns the smallest share of requests served on time in any window.
    #[must_use]
    pub fn worst_on_time_share(&self) -> f64 {
        let with_requests = self
            .windows
            .iter()
            .filter(|window| window.request_count > 0);
        let shares =
            with_requests.map(|window| share(window.on_time_count(), window.request_count));
        shares.fold(1.0, f64::min)
    }

    /// Adds the results of the same service in another replay.
    pub fn add(&mut self, other: &Self) {
        self.attempt_count += other.attempt_count;
        self.cross_region_count += other.cross_region_count;
        self.held_ms += other.held_ms;
        self.probe_count += other.probe_count;
        self.retry_count += other.retry_count;
        self.worst_idle_share = self.worst_idle_share.max(other.worst_idle_share);
        let missing = other.windows.len().saturating_sub(self.windows.len());
        let empty = std::iter::repeat_n(replay::Window::default(), missing);
        self.windows.extend(empty);
        for (window, other) in self.windows.iter_mut().zip(&other.windows) {
            window.add(other);
        }
    }
}

/// Returns `part` as a share of `total`; 0 if `total` is 0.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) fn share(part: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        part as f64 / total as f64
    }
}
