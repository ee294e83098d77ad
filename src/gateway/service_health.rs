//! Share of a service's recent requests that failed.

use std::mem;

use crate::gateway;

/// Time constant of the exponential decay of the counts, in milliseconds. The
/// contract evaluates spans of this length.
const DECAY_TIME_MS: f64 = 2_000.0;
const PERCENT: f64 = 100.0;
/// Minimum decayed number of requests for a service to count as degraded.
const MIN_REQUEST_COUNT: f64 = 8.0;

/// Exponentially decaying counts of a service's requests and failures, from this
/// VM and the VMs that report to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceHealth {
    failures: f64,
    /// Whether the service was degraded in the last reported health change.
    was_degraded: bool,
    own_served_count: u32,
    own_unserved_count: u32,
    requests: f64,
    updated_ms: u64,
}

impl ServiceHealth {
    /// Records the outcome of a request of this VM.
    pub(super) fn record_own_outcome(&mut self, now_ms: u64, is_served: bool) {
        if is_served {
            self.own_served_count += 1;
        } else {
            self.own_unserved_count += 1;
        }
        self.record_outcomes(now_ms, u32::from(is_served), u32::from(!is_served));
    }

    /// Records the outcomes of requests of any VM.
    pub(super) fn record_outcomes(&mut self, now_ms: u64, served_count: u32, unserved_count: u32) {
        let retained = self.retained_share(now_ms);
        let unserved = f64::from(unserved_count);
        self.failures = self.failures * retained + unserved;
        self.requests = self.requests * retained + f64::from(served_count) + unserved;
        self.updated_ms = now_ms;
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

    /// Returns the outcomes of this VM's requests for the next load report and resets
    /// the counts; `None` if no request has ended.
    pub(super) fn take_outcomes(&mut self, service_hash: u64) -> Option<gateway::ServiceOutcomes> {
        let outcomes = gateway::ServiceOutcomes {
            served_count: mem::take(&mut self.own_served_count),
            service_hash,
            unserved_count: mem::take(&mut self.own_unserved_count),
        };
        (outcomes.served_count + outcomes.unserved_count > 0).then_some(outcomes)
    }

    fn retained_share(&self, now_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-age_ms / DECAY_TIME_MS).exp()
    }
}
