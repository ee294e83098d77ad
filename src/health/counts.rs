//! Counts of outcomes by kind.

use crate::health;

/// Kind of anomalous outcome that the evidence is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnomalyKind {
    Failed,
    Slow,
}

/// Counts of outcomes by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Counts {
    pub(super) failed: u64,
    pub(super) outcomes: u64,
    pub(super) slow: u64,
}

impl Counts {
    pub(super) fn add(&mut self, score: &health::score::Score) {
        self.failed += score.failed_count;
        self.outcomes += score.outcome_count;
        self.slow += score.slow_count;
    }

    pub(super) fn merge(&mut self, other: Self) {
        self.failed += other.failed;
        self.outcomes += other.outcomes;
        self.slow += other.slow;
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            outcomes: self.outcomes.saturating_sub(earlier.outcomes),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    pub(super) fn from_totals(totals: health::OutcomeTotals) -> Self {
        Self {
            failed: totals.failed_count,
            outcomes: totals.outcome_count,
            slow: totals.slow_count,
        }
    }

    pub(super) fn to_totals(self) -> health::OutcomeTotals {
        health::OutcomeTotals {
            failed_count: self.failed,
            outcome_count: self.outcomes,
            slow_count: self.slow,
        }
    }

    /// Returns the number of anomalous outcomes of one kind.
    pub(super) fn anomalous_of(self, kind: AnomalyKind) -> u64 {
        match kind {
            AnomalyKind::Failed => self.failed,
            AnomalyKind::Slow => self.slow,
        }
    }

    /// Returns the number of failed and slow outcomes, which are rare on a
    /// healthy server.
    pub(super) fn anomalous(self) -> u64 {
        self.failed + self.slow
    }
}
