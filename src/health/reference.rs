//! Outcomes of the other servers of a group, as a reference for one server.

use crate::health;

/// Quantiles of the other servers' latencies, in permille.
const QUANTILES_PERMILLE: [u64; 4] = [500, 750, 900, 970];
/// Scores, in thousandths of a nat, of a response up to each quantile and of a
/// slower one. Each score is the logarithm of the response's probability on a
/// slow server (10, 15, 20, 20 and 35%) over that on a healthy one (50, 25, 15,
/// 7 and 3%).
const LATENCY_SCORES_MILLI: [i64; 5] = [-1_609, -511, 288, 1_050, 2_457];
/// First latency class that counts as slow.
const SLOW_CLASS: usize = 3;
/// Minimum number of responses of the other servers for evaluating a server.
const RESPONSES_MIN: u64 = 30;
/// Smallest failure rate assumed for a faulty server.
const FAULTY_FAILURE_RATE: f64 = 0.02;
/// Largest failure rate assumed for a faulty server.
const FAULTY_FAILURE_RATE_MAX: f64 = 0.9;
/// Prior failures added to those of the other servers.
const PRIOR_FAILED: f64 = 0.1;
/// Prior outcomes added to those of the other servers.
const PRIOR_OUTCOMES: f64 = 100.0;
/// Largest score of one failure, in nats.
const FAILURE_SCORE_MAX: f64 = 4.0;
/// Score added for an invalid response, in thousandths of a nat.
const INVALID_RESPONSE_EXTRA_MILLI: i64 = 1_000;

/// Shortest time within which anomalous outcomes of a server count as one
/// incident. A healthy server that pauses delays all of its requests at once.
pub(super) const INCIDENT_MIN_MS: u64 = 150;
/// Length of an incident, in median latencies. Requests that queue up while a
/// server pauses are delayed too.
const INCIDENT_MEDIANS: u64 = 2;

/// Outcomes of the other servers of a group, as a reference for one server.
///
/// Latencies are compared by rank, so that a heavy tail counts only for its
/// share of the responses. Failures are compared by rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reference {
    quantile_bins: [usize; 4],
    failed_milli: i64,
    succeeded_milli: i64,
}

impl Reference {
    /// Creates a reference, or returns `None` if the other servers have too few
    /// responses.
    pub(super) fn new(
        latency_counts: &[u64],
        failures: health::failure_rate::FailureRate,
    ) -> Option<Self> {
        let total: u64 = latency_counts.iter().sum();
        if total < RESPONSES_MIN {
            return None;
        }
        let healthy_rate = (f64::from(failures.failed_count) + PRIOR_FAILED)
            / (f64::from(failures.outcome_count) + PRIOR_OUTCOMES);
        let faulty_rate = (healthy_rate * 5.0).clamp(FAULTY_FAILURE_RATE, FAULTY_FAILURE_RATE_MAX);
        let failed = (faulty_rate / healthy_rate)
            .ln()
            .clamp(0.0, FAILURE_SCORE_MAX);
        let succeeded = ((1.0 - faulty_rate) / (1.0 - healthy_rate)).ln().min(0.0);
        Some(Self {
            quantile_bins: QUANTILES_PERMILLE
                .map(|permille| quantile_bin(latency_counts, total, permille)),
            failed_milli: to_milli(failed),
            succeeded_milli: to_milli(succeeded).min(-1),
        })
    }

    /// Returns the time within which anomalous outcomes count as one incident.
    pub(super) fn incident_ms(&self) -> u64 {
        let median_us =
            health::latency_histogram::LatencyHistogram::start_us(self.quantile_bins[0]);
        (median_us * INCIDENT_MEDIANS / 1_000).max(INCIDENT_MIN_MS)
    }

    /// Scores one outcome. `latency_us` is already reduced by the tolerance.
    pub(super) fn score(&self, kind: health::OutcomeKind, latency_us: u64) -> health::score::Score {
        if kind == health::OutcomeKind::Answered {
            return self.score_response(latency_us);
        }
        let extra_milli = if kind.is_invalid_response() {
            INVALID_RESPONSE_EXTRA_MILLI
        } else {
            0
        };
        health::score::Score {
            failed_count: 1,
            failure_milli: self.failed_milli + extra_milli,
            latency_milli: 0,
            outcome_count: 1,
            slow_count: 0,
        }
    }

    fn score_response(&self, latency_us: u64) -> health::score::Score {
        let bin = health::latency_histogram::LatencyHistogram::bin(latency_us);
        let class = self
            .quantile_bins
            .iter()
            .filter(|quantile_bin| bin > **quantile_bin)
            .count();
        health::score::Score {
            failed_count: 0,
            failure_milli: self.succeeded_milli,
            latency_milli: LATENCY_SCORES_MILLI[class],
            outcome_count: 1,
            slow_count: u64::from(class >= SLOW_CLASS),
        }
    }
}

/// Returns the bin that contains the quantile.
fn quantile_bin(counts: &[u64], total: u64, permille: u64) -> usize {
    let mut seen = 0;
    for (bin, count) in counts.iter().enumerate() {
        seen += count;
        if seen * 1_000 >= total * permille {
            return bin;
        }
    }
    counts.len() - 1
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "scores are a few nats, far from the limits"
)]
fn to_milli(nats: f64) -> i64 {
    (nats * 1_000.0).round() as i64
}
