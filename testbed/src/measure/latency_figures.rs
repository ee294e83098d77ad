//! Measured latencies by case, load and round.

use std::fmt;

use snafu::ResultExt as _;

use crate::measure;
use crate::measure::latency_error;

/// Highest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies of one case under one load in one round.
#[derive(Clone, Debug)]
pub struct CellFigures {
    /// The request path.
    pub case: measure::LatencyCase,
    /// Requests without a valid response; their latencies are not recorded.
    pub failed_requests: u64,
    /// Concurrency and work time of the requests.
    pub load: measure::LatencyLoad,
    /// Number of the round, starting at 1.
    pub round: usize,
    latency_us: hdrhistogram::Histogram<u64>,
}

/// Latencies of all cases, loads and rounds of a run.
#[derive(Clone, Debug, Default)]
pub struct LatencyFigures {
    cells: Vec<CellFigures>,
}

/// Median and 99th percentile of latencies, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Quantiles {
    p50_us: u64,
    p99_us: u64,
}

/// Differences of two medians and of two 99th percentiles, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Added {
    p50_us: i64,
    p99_us: i64,
}

impl CellFigures {
    /// Creates figures without requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created.
    pub fn new(
        case: measure::LatencyCase,
        load: measure::LatencyLoad,
        round: usize,
    ) -> Result<Self, measure::LatencyError> {
        let latency_us = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .context(latency_error::HistogramSnafu)?;
        Ok(Self {
            case,
            failed_requests: 0,
            latency_us,
            load,
            round,
        })
    }

    /// Records the latency of one successful request.
    pub fn add(&mut self, latency_us: u64) {
        self.latency_us.saturating_record(latency_us);
    }

    fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50_us: self.latency_us.value_at_quantile(0.5),
            p99_us: self.latency_us.value_at_quantile(0.99),
        }
    }
}

impl LatencyFigures {
    /// Adds the latencies of one case under one load in one round.
    pub fn push(&mut self, cell: CellFigures) {
        self.cells.push(cell);
    }

    /// Returns the number of requests without a valid response.
    #[must_use]
    pub fn failed_requests(&self) -> u64 {
        self.cells.iter().map(|cell| cell.failed_requests).sum()
    }

    /// Returns CSV with one line per case, load and round, with the differences to
    /// the direct call of the same load and round.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let head = "case,work_ms,concurrency,round,answered_requests,failed_requests,\
                    p50_us,p99_us,added_p50_us,added_p99_us\n";
        let lines = self.cells.iter().map(|cell| self.csv_line(cell));
        std::iter::once(head.to_owned()).chain(lines).collect()
    }

    fn csv_line(&self, cell: &CellFigures) -> String {
        let Quantiles { p50_us, p99_us } = cell.quantiles();
        let added = self.added(cell);
        format!(
            "{},{},{},{},{},{},{p50_us},{p99_us},{},{}\n",
            cell.case.as_str(),
            cell.load.work_ms,
            cell.load.concurrency,
            cell.round,
            cell.latency_us.len(),
            cell.failed_requests,
            added.p50_us,
            added.p99_us,
        )
    }

    /// Returns the differences to the direct call of the same load and round.
    fn added(&self, cell: &CellFigures) -> Added {
        let baseline = self
            .cells
            .iter()
            .find(|other| {
                other.case == cell.case.baseline()
                    && other.load == cell.load
                    && other.round == cell.round
            })
            .unwrap_or(cell);
        let (measured, direct) = (cell.quantiles(), baseline.quantiles());
        Added {
            p50_us: difference(measured.p50_us, direct.p50_us),
            p99_us: difference(measured.p99_us, direct.p99_us),
        }
    }

    /// Returns the rounds of one case under one load.
    fn rounds(
        &self,
        case: measure::LatencyCase,
        load: measure::LatencyLoad,
    ) -> impl Iterator<Item = &CellFigures> {
        let cells = self.cells.iter();
        cells.filter(move |cell| cell.case == case && cell.load == load)
    }

    /// Returns the quantiles over all rounds of one case under one load.
    fn pooled(&self, case: measure::LatencyCase, load: measure::LatencyLoad) -> Quantiles {
        let mut rounds = self.rounds(case, load);
        let Some(mut pooled) = rounds.next().cloned() else {
            return Quantiles::default();
        };
        for other in rounds {
            // All histograms have the same bounds, so adding cannot fail.
            let _ = pooled.latency_us.add(&other.latency_us);
        }
        pooled.quantiles()
    }
}

impl fmt::Display for LatencyFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<15}{:>8}{:>12}{:>9}{:>9}{:>14}{:>14}{:>24}{:>24}{:>8}",
            "case",
            "work ms",
            "concurrency",
            "p50 us",
            "p99 us",
            "added p50 us",
            "added p99 us",
            "rounds' added p50 us",
            "rounds' added p99 us",
            "failed"
        )?;
        let first_round = self.cells.iter().filter(|cell| cell.round == 1);
        for first in first_round {
            let pooled = self.pooled(first.case, first.load);
            let direct = self.pooled(first.case.baseline(), first.load);
            let added: Vec<Added> = self
                .rounds(first.case, first.load)
                .map(|cell| self.added(cell))
                .collect();
            let added_p50 = spread(added.iter().map(|added| added.p50_us).collect());
            let added_p99 = spread(added.iter().map(|added| added.p99_us).collect());
            let failed: u64 = self
                .rounds(first.case, first.load)
                .map(|cell| cell.failed_requests)
                .sum();
            writeln!(
                formatter,
                "{:<15}{:>8}{:>12}{:>9}{:>9}{:>14}{:>14}{added_p50:>24}{added_p99:>24}{failed:>8}",
                first.case.as_str(),
                first.load.work_ms,
                first.load.concurrency,
                pooled.p50_us,
                pooled.p99_us,
                difference(pooled.p50_us, direct.p50_us),
                difference(pooled.p99_us, direct.p99_us),
            )?;
        }
        Ok(())
    }
}

fn difference(left_us: u64, right_us: u64) -> i64 {
    let signed = |value_us| i64::try_from(value_us).unwrap_or(i64::MAX);
    signed(left_us) - signed(right_us)
}

/// Returns the median, or the lower of the two middle values; the default value
/// if there are no values.
fn median<T: Copy + Default + Ord>(mut values: Vec<T>) -> T {
    values.sort_unstable();
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}

/// Formats the median with the least and the greatest value.
fn spread(values_us: Vec<i64>) -> String {
    let least_us = values_us.iter().min().copied().unwrap_or_default();
    let greatest_us = values_us.iter().max().copied().unwrap_or_default();
    format!("{} ({least_us}..{greatest_us})", median(values_us))
}
