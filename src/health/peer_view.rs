//! Last summary of another entry VM.

use crate::health;

/// Largest score of one outcome that is accepted from a summary, in thousandths
/// of a nat.
const OUTCOME_SCORE_MAX_MILLI: i64 = 5_000;

/// Last summary of another entry VM. The next summary is evaluated by its
/// difference from the last one.
#[derive(Default)]
pub(super) struct PeerView {
    /// Time at which the last summary was accepted.
    pub(super) received_ms: u64,
    incarnation: u64,
    sequence: u64,
    servers: indexmap::IndexMap<String, health::ServerSummary>,
    totals: Option<health::counts::Counts>,
}

impl PeerView {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Accepts a summary if it is newer than all earlier ones, and returns whether
    /// it does. A new incarnation of the sender discards the earlier summaries.
    pub(super) fn accept(&mut self, now_ms: u64, summary: &health::Summary) -> bool {
        if summary.incarnation != self.incarnation {
            *self = Self::new(summary.incarnation);
        }
        if summary.sequence <= self.sequence {
            return false;
        }
        self.sequence = summary.sequence;
        self.received_ms = now_ms;
        true
    }

    /// Returns the new outcomes over all servers. The first summary yields
    /// none.
    pub(super) fn totals_increase(
        &mut self,
        totals: health::OutcomeTotals,
    ) -> health::counts::Counts {
        let newer = health::counts::Counts::from_totals(totals);
        let older = self.totals.replace(newer);
        older.map_or_else(health::counts::Counts::default, |older| newer.since(older))
    }

    /// Returns whether the VM has ejected the server since its last summary.
    pub(super) fn has_newly_ejected(&self, summary: &health::ServerSummary) -> bool {
        let earlier = self.servers.get(&summary.server_id);
        summary.is_ejected && earlier.is_some_and(|earlier| !earlier.is_ejected)
    }

    /// Returns the score of the new outcomes with one server. Returns `None`
    /// for the first summary of the server, whose sums may cover a long time,
    /// and for counts that decrease.
    pub(super) fn increase(
        &mut self,
        summary: &health::ServerSummary,
    ) -> Option<health::score::Score> {
        let earlier = self
            .servers
            .insert(summary.server_id.clone(), summary.clone())?;
        let outcome_count = summary.outcome_count.checked_sub(earlier.outcome_count)?;
        let limit_milli = i64::try_from(outcome_count).map_or(i64::MAX, |count| {
            count.saturating_mul(OUTCOME_SCORE_MAX_MILLI)
        });
        let increase_milli = |newer: i64, older: i64| {
            newer
                .saturating_sub(older)
                .clamp(limit_milli.saturating_neg(), limit_milli)
        };
        Some(health::score::Score {
            failed_count: summary.failed_count.checked_sub(earlier.failed_count)?,
            failure_milli: increase_milli(summary.failure_sum_milli, earlier.failure_sum_milli),
            latency_milli: increase_milli(summary.latency_sum_milli, earlier.latency_sum_milli),
            outcome_count,
            slow_count: summary.slow_count.checked_sub(earlier.slow_count)?,
        })
    }
}
