//! Share of a service's recent requests that were not served.

use std::mem;

use crate::gateway;

/// Time constant of the exponential decay of the counts, in milliseconds. The
/// contract evaluates spans of this length.
const DECAY_TIME_MS: f64 = 2_000.0;
const PERCENT: f64 = 100.0;
/// Time for which a service counts as one with requests that can be retried, in
/// milliseconds. Afterwards, all requests keep the minimum share of its servers in use.
const RETRYABLE_MAX_AGE_MS: u64 = 1_500;
/// Minimum decayed number of requests for a service to count as degraded.
const MIN_REQUEST_COUNT: f64 = 8.0;

/// Exponentially decaying counts of a service's requests and of those that were not
/// served, from this VM and the VMs that report to it.
///
/// A request counts from its begin.
///
/// Load pattern: traffic begins, or all VMs restart. A failing server responds
/// within milliseconds and a healthy one after half a second, so of the requests
/// that have ended in the first second, most have failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceHealth {
    failures: f64,
    /// Whether the service was degraded in the last reported health change.
    was_degraded: bool,
    own_begun_count: u32,
    own_unserved_count: u32,
    requests: f64,
    /// When this VM last had a request that can be retried.
    retryable_ms: Option<u64>,
    updated_ms: u64,
}

impl ServiceHealth {
    /// Records that a request of this VM begins.
    pub(super) fn record_own_begin(&mut self, now_ms: u64) {
        self.own_begun_count += 1;
        self.record_requests(now_ms, 1, 0);
    }

    /// Records that a request of this VM was not served.
    pub(super) fn record_own_unserved(&mut self, now_ms: u64) {
        self.own_unserved_count += 1;
        self.record_requests(now_ms, 0, 1);
    }

    /// Records requests of any VM that begin, and others that were not served.
    pub(super) fn record_requests(&mut self, now_ms: u64, begun_count: u32, unserved_count: u32) {
        let retained = self.retained_share(now_ms);
        self.failures = self.failures * retained + f64::from(unserved_count);
        self.requests = self.requests * retained + f64::from(begun_count);
        self.updated_ms = now_ms;
    }

    /// Records a request of this VM that can be retried.
    pub(super) const fn record_retryable(&mut self, now_ms: u64) {
        self.retryable_ms = Some(now_ms);
    }

    /// Returns whether this VM has had a request recently that can be retried.
    pub(super) fn has_recent_retryable(&self, now_ms: u64) -> bool {
        self.retryable_ms
            .is_some_and(|at_ms| at_ms + RETRYABLE_MAX_AGE_MS > now_ms)
    }

    /// Returns the decayed number of recent requests.
    pub(super) fn recent_request_count(&self, now_ms: u64) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count is positive and small"
        )]
        let count = (self.requests * self.retained_share(now_ms)) as usize;
        count
    }

    /// Returns whether more than `degraded_percent` of the recent requests failed.
    pub(super) fn is_degraded(&self, now_ms: u64, degraded_percent: u64) -> bool {
        let has_enough_requests = self.requests * self.retained_share(now_ms) >= MIN_REQUEST_COUNT;
        #[expect(clippy::cast_precision_loss, reason = "a percentage")]
        let degraded_share = degraded_percent as f64 / PERCENT;
        has_enough_requests && self.failures > self.requests * degraded_share
    }

    /// Returns the share of the recent requests that failed if the service became
    /// degraded or healthy since the last change; otherwise `None`.
    pub(super) fn take_change(&mut self, now_ms: u64, degraded_percent: u64) -> Option<f64> {
        let is_degraded = self.is_degraded(now_ms, degraded_percent);
        if is_degraded == self.was_degraded {
            return None;
        }
        self.was_degraded = is_degraded;
        Some(self.failures / self.requests)
    }

    /// Returns the counts of this VM's requests for the next load report and resets
    /// them; `None` if there is nothing to report.
    pub(super) fn take_outcomes(&mut self, service_hash: u64) -> Option<gateway::ServiceOutcomes> {
        let outcomes = gateway::ServiceOutcomes {
            begun_count: mem::take(&mut self.own_begun_count),
            service_hash,
            unserved_count: mem::take(&mut self.own_unserved_count),
        };
        (outcomes.begun_count + outcomes.unserved_count > 0).then_some(outcomes)
    }

    fn retained_share(&self, now_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-age_ms / DECAY_TIME_MS).exp()
    }
}
