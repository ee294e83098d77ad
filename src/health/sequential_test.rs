//! Sequential test of one server.

use crate::health;

/// Largest score of a test, in thousandths of a nat. It bounds how long the
/// evidence of a past fault counts against a server that has recovered.
const SCORE_CAP_MILLI: i64 = 40_000;
/// Largest score that one incident adds, in thousandths of a nat.
const INCIDENT_CAP_MILLI: i64 = 4_900;

/// Cumulative sums (CUSUM) of log-likelihood ratios, one for slow responses and
/// one for failures. Normal outcomes lower a sum, but never below zero, so the
/// delay until a fault is detected does not depend on when the fault begins.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SequentialTest {
    failure: CumulativeSum,
    incident_began_ms: u64,
    latency: CumulativeSum,
}

impl SequentialTest {
    /// Adds outcomes. All outcomes within `incident_ms` count as one incident.
    pub(super) fn add(&mut self, now_ms: u64, incident_ms: u64, score: &health::score::Score) {
        if now_ms.saturating_sub(self.incident_began_ms) >= incident_ms {
            self.incident_began_ms = now_ms;
            self.failure.close_incident();
            self.latency.close_incident();
        }
        self.failure.add(score.failure_milli);
        self.latency.add(score.latency_milli);
    }

    /// Raises the latency sum to `milli` if both sums are lower.
    pub(super) fn raise_to(&mut self, milli: i64) {
        if self.value_milli() < milli {
            self.latency = CumulativeSum {
                closed_milli: milli,
                incident_milli: 0,
            };
        }
    }

    /// Returns the larger of the two sums.
    pub(super) fn value_milli(self) -> i64 {
        self.failure_milli().max(self.latency_milli())
    }

    pub(super) fn failure_milli(self) -> i64 {
        self.failure.value_milli()
    }

    pub(super) fn latency_milli(self) -> i64 {
        self.latency.value_milli()
    }

    /// Returns the kind of anomaly with the larger sum.
    pub(super) fn kind(self) -> health::counts::AnomalyKind {
        if self.failure_milli() >= self.latency_milli() {
            health::counts::AnomalyKind::Failed
        } else {
            health::counts::AnomalyKind::Slow
        }
    }
}

/// One of the two cumulative sums, with the open incident kept apart so that
/// its contribution can be capped.
#[derive(Clone, Copy, Debug, Default)]
struct CumulativeSum {
    closed_milli: i64,
    incident_milli: i64,
}

impl CumulativeSum {
    fn add(&mut self, milli: i64) {
        self.incident_milli = self.incident_milli.saturating_add(milli);
        if self.closed_milli.saturating_add(self.incident_milli) <= 0 {
            *self = Self::default();
        }
    }

    fn close_incident(&mut self) {
        self.closed_milli = self.value_milli();
        self.incident_milli = 0;
    }

    fn value_milli(self) -> i64 {
        let incident_milli = self.incident_milli.min(INCIDENT_CAP_MILLI);
        (self.closed_milli + incident_milli).clamp(0, SCORE_CAP_MILLI)
    }
}
