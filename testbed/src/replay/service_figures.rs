//! What became of one service's requests under one policy.

use crate::replay;

/// What became of one service's requests under one policy.
#[derive(Clone, Debug, Default)]
pub struct ServiceFigures {
    /// Requests that servers got, second attempts included.
    pub arrivals_count: u64,
    /// Arrivals at another region's servers.
    pub far_count: u64,
    /// Time for which requests were held that ended refused, in milliseconds,
    /// summed.
    pub held_ms: u64,
    /// The service.
    pub name: String,
    /// Arrivals that were sent only to keep a suspect in use.
    pub probe_count: u64,
    /// Second attempts.
    pub retry_count: u64,
    /// Largest part of the servers without a request in two seconds, while
    /// between a tenth and a half of the requests were not served.
    pub worst_idle_share: f64,
    /// Two seconds each.
    pub windows: Vec<replay::Window>,
}

impl ServiceFigures {
    /// Gives the sum of all windows.
    #[must_use]
    pub fn total(&self) -> replay::Window {
        let mut total = replay::Window::default();
        for window in &self.windows {
            total.add(window);
        }
        total
    }

    /// Gives the smallest part of the requests that any window served in time.
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

    /// Adds the figures of another run of the same service.
    pub fn add(&mut self, other: &Self) {
        self.arrivals_count += other.arrivals_count;
        self.far_count += other.far_count;
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

/// Gives a part of a whole; nothing of nothing is 0.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) fn share(part: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        part as f64 / total as f64
    }
}
