//! Counters and latency histograms of the gateway.

use std::fmt::Write as _;
use std::sync;

use crate::telemetry;

/// Maximum latency that the histograms record, in milliseconds; longer latencies
/// are recorded as this value.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles in the rendered text.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Counters and latency histograms of the gateway.
pub struct Metrics {
    /// Counters by name.
    pub counters: telemetry::Counters,
    latencies_ms: sync::Mutex<indexmap::IndexMap<String, hdrhistogram::Histogram<u32>>>,
}

impl Metrics {
    /// Creates empty metrics.
    #[must_use]
    pub fn new() -> Self {
        Self {
            counters: telemetry::Counters::new(None),
            latencies_ms: sync::Mutex::new(indexmap::IndexMap::new()),
        }
    }

    /// Adds a latency in milliseconds to the histogram `name`.
    pub fn record_ms(&self, name: &str, latency_ms: u64) {
        let mut latencies = self.lock();
        if let Some(histogram) = latencies.get_mut(name) {
            histogram.saturating_record(latency_ms);
            return;
        }
        let created = hdrhistogram::Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
        if let Ok(mut histogram) = created {
            histogram.saturating_record(latency_ms);
            latencies.insert(name.to_owned(), histogram);
        }
    }

    /// Returns all counters and histograms as text, one value on each line.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.counters.snapshot() {
            let _ = writeln!(text, "{} {count}", name.replace(['.', '-'], "_"));
        }
        for (name, histogram) in &*self.lock() {
            let name = name.replace(['.', '-'], "_");
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, indexmap::IndexMap<String, hdrhistogram::Histogram<u32>>> {
        self.latencies_ms
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
