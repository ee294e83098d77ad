//! Rates at which requests arrive and are admitted, by priority.

use std::collections;

use crate::admission::completion_rate;

/// Maximum number of priorities whose rates are kept. The others count as one.
const MAX_PRIORITIES: usize = 64;

/// Rates at which requests arrive and are admitted, by priority, averaged over the last
/// few seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassRates {
    admitted: completion_rate::CompletionRate,
    arrived: collections::BTreeMap<u32, completion_rate::CompletionRate>,
}

impl ClassRates {
    /// Records a request that arrives.
    pub(crate) fn record_arrival(&mut self, now_ms: u64, priority: u32) {
        let is_known = self.arrived.contains_key(&priority);
        let priority = if is_known || self.arrived.len() < MAX_PRIORITIES {
            priority
        } else {
            u32::MAX
        };
        let arrived = self.arrived.entry(priority).or_default();
        arrived.record_completion(now_ms);
    }

    /// Records a request that is admitted.
    pub(crate) fn record_admission(&mut self, now_ms: u64) {
        self.admitted.record_completion(now_ms);
    }

    /// Returns the rate at which requests of a priority can be admitted, in
    /// thousandths of a request per second, if requests go on arriving as they do.
    ///
    /// `capacity_milli_per_s` is the estimated capacity. The rate of the requests that
    /// were admitted takes its place if it is higher.
    ///
    /// The rates are those of a few seconds. At a VM with a few requests per second,
    /// chance alone makes the arrivals of the more urgent requests exceed the capacity.
    /// Callers are refused only for what exceeds it by more than the standard error.
    pub(crate) fn available_milli_per_s(
        &mut self,
        now_ms: u64,
        priority: u32,
        capacity_milli_per_s: u64,
    ) -> u64 {
        let admitted = self.admitted.milli_per_s(now_ms);
        let capacity = admitted.max(capacity_milli_per_s);
        let more_urgent = self.arrived.range_mut(..priority);
        let more_urgent: u64 = more_urgent
            .map(|(_, rate)| {
                let error = rate.error_milli_per_s(now_ms);
                rate.milli_per_s(now_ms).saturating_sub(error)
            })
            .sum();
        capacity.saturating_sub(more_urgent).max(1)
    }
}
