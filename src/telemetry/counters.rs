//! Counters that are sent to a `StatsD` sink and served on the operator port.

use std::net;
use std::sync;

use cadence::prelude::Counted as _;

use crate::telemetry;
use crate::verdict;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "foxtailwinch";

/// Counters by name. Each increment is also sent to the `StatsD` sink if one is
/// configured.
pub struct Counters {
    counts: sync::Mutex<indexmap::IndexMap<String, u64>>,
    sink: Option<cadence::StatsdClient>,
}

impl Counters {
    /// Creates counters. With `None` for `statsd_address`, they are not sent to
    /// a sink.
    #[must_use]
    pub fn new(statsd_address: Option<net::SocketAddr>) -> Self {
        Self {
            counts: sync::Mutex::new(indexmap::IndexMap::new()),
            sink: statsd_address.and_then(connect_sink),
        }
    }

    /// Increments the counter `name` by 1.
    pub fn add(&self, name: &str) {
        self.add_many(name, 1);
    }

    /// Increments the counter `name` by `amount`.
    pub fn add_many(&self, name: &str, amount: u64) {
        let mut counts = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(count) = counts.get_mut(name) {
            *count += amount;
        } else {
            counts.insert(name.to_owned(), amount);
        }
        drop(counts);
        if let Some(sink) = &self.sink {
            let _ = sink.count(name, amount);
        }
    }

    /// Increments the counter for the reason and verdict of a refusal.
    pub fn add_refusal(&self, refusal: &verdict::Refusal) {
        let reason = refusal.reason.as_str();
        let verdict = refusal.verdict.as_str();
        self.add(&format!("refusal.{reason}.{verdict}"));
    }

    /// Increments the counter for the reason of a retry.
    pub fn add_retry(&self, reason: verdict::RetryReason) {
        self.add(&format!("retry.{}", reason.as_str()));
    }

    /// Returns all counters, sorted by name.
    #[must_use]
    pub fn snapshot(&self) -> indexmap::IndexMap<String, u64> {
        let mut counts = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone();
        counts.sort_unstable_keys();
        counts
    }
}

fn connect_sink(address: net::SocketAddr) -> Option<cadence::StatsdClient> {
    let sink = net::UdpSocket::bind("0.0.0.0:0")
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .ok()
        .and_then(|socket| cadence::UdpMetricSink::from(address, socket).ok());
    if sink.is_none() {
        telemetry::Event::MetricSinkFailed.warn(&format!(
            "cannot use metric sink {address}; sending no metrics"
        ));
    }
    sink.map(|sink| cadence::StatsdClient::from_sink(METRIC_PREFIX, sink))
}
