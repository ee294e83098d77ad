//! Report of a run.

use std::{fmt, time};

use foxtailwinch::verdict;
use snafu::ResultExt as _;

use crate::caller;

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts and latencies of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of attempts by outcome.
    pub attempts: indexmap::IndexMap<String, u64>,
    /// Duration of the whole run.
    pub elapsed: time::Duration,
    /// Number of requests by the outcome of their last attempt.
    pub final_outcomes: indexmap::IndexMap<String, u64>,
    /// Number of attempts without a successful response, by verdict and reason.
    pub reasons: indexmap::IndexMap<String, u64>,
    /// Number of requests by their number of attempts.
    pub tries: indexmap::IndexMap<u32, u64>,
    /// Number of responses that did not belong to their request.
    pub wrong_answers: u64,
    latency_us: hdrhistogram::Histogram<u64>,
}

#[derive(serde::Serialize)]
struct ReportJson<'a> {
    attempts: &'a indexmap::IndexMap<String, u64>,
    elapsed_ms: u64,
    latency_max_us: u64,
    latency_p50_us: u64,
    latency_p99_us: u64,
    reasons: &'a indexmap::IndexMap<String, u64>,
    requests: &'a indexmap::IndexMap<String, u64>,
    tries: &'a indexmap::IndexMap<u32, u64>,
    wrong_answers: u64,
}

impl Report {
    /// Creates an empty report.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created.
    pub fn new() -> Result<Self, caller::CallerError> {
        let latency_us = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .context(caller::caller_error::HistogramSnafu)?;
        Ok(Self {
            attempts: indexmap::IndexMap::new(),
            elapsed: time::Duration::ZERO,
            final_outcomes: indexmap::IndexMap::new(),
            latency_us,
            reasons: indexmap::IndexMap::new(),
            tries: indexmap::IndexMap::new(),
            wrong_answers: 0,
        })
    }

    /// Counts one attempt.
    pub fn count_attempt(&mut self, outcome: &caller::AttemptOutcome) {
        *self
            .attempts
            .entry(outcome.as_str().to_owned())
            .or_default() += 1;
        if matches!(outcome, caller::AttemptOutcome::Wrong(_)) {
            self.wrong_answers += 1;
        }
        let verdict = outcome.verdict().map(verdict::RunVerdict::as_str);
        let reason = outcome.reason();
        let label = match (verdict, reason) {
            (None, None) => return,
            (None, Some(reason)) => reason,
            (Some(verdict), None) => format!("{verdict} {}", outcome.as_str()),
            (Some(verdict), Some(reason)) => format!("{verdict} {reason}"),
        };
        *self.reasons.entry(label).or_default() += 1;
    }

    /// Counts one request with the outcome of its last attempt. The latency,
    /// counted from the time at which the request was due, is recorded for
    /// answered requests only.
    pub fn count_request(
        &mut self,
        attempts: u32,
        outcome: &caller::AttemptOutcome,
        latency: time::Duration,
    ) {
        *self
            .final_outcomes
            .entry(outcome.as_str().to_owned())
            .or_default() += 1;
        *self.tries.entry(attempts).or_default() += 1;
        if *outcome == caller::AttemptOutcome::Answered {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latency_us.saturating_record(latency_us);
        }
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        let report = ReportJson {
            attempts: &self.attempts,
            elapsed_ms: u64::try_from(self.elapsed.as_millis()).unwrap_or(u64::MAX),
            latency_max_us: self.latency_us.max(),
            latency_p50_us: self.latency_us.value_at_quantile(0.5),
            latency_p99_us: self.latency_us.value_at_quantile(0.99),
            reasons: &self.reasons,
            requests: &self.final_outcomes,
            tries: &self.tries,
            wrong_answers: self.wrong_answers,
        };
        serde_json::to_string(&report).unwrap_or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_counts(formatter, "requests", &self.final_outcomes)?;
        write_counts(formatter, "attempts", &self.attempts)?;
        write_counts(formatter, "reasons", &self.reasons)?;
        write_counts(formatter, "tries", &self.tries)?;
        writeln!(formatter, "wrong answers: {}", self.wrong_answers)?;
        writeln!(
            formatter,
            "latency: p50 {} us, p99 {} us, max {} us",
            self.latency_us.value_at_quantile(0.5),
            self.latency_us.value_at_quantile(0.99),
            self.latency_us.max()
        )?;
        write!(formatter, "elapsed: {} ms", self.elapsed.as_millis())
    }
}

fn write_counts<K>(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &indexmap::IndexMap<K, u64>,
) -> fmt::Result
where
    K: fmt::Display,
{
    writeln!(formatter, "{title}:")?;
    for (name, count) in counts {
        writeln!(formatter, "  {name}: {count}")?;
    }
    Ok(())
}
