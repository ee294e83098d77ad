//! Network latencies.

use crate::replay;

/// Network latencies within and between regions.
#[derive(Clone, Debug)]
pub(super) struct Network {
    region_latency_ms: u64,
    zone_latency_ms: u64,
}

impl Network {
    /// Creates the network of a scenario.
    pub(super) const fn new(scenario: &replay::Scenario) -> Self {
        Self {
            region_latency_ms: scenario.region_latency_ms,
            zone_latency_ms: scenario.zone_latency_ms,
        }
    }

    /// Returns the one-way latency from one region to another or within one
    /// region, in milliseconds.
    pub(super) fn one_way_ms(&self, from: &str, to: &str) -> u64 {
        if from == to {
            self.zone_latency_ms
        } else {
            self.region_latency_ms
        }
    }
}
