//! Admission by priority to the capacity that all services share.

use crate::bundle;
use crate::configs::admission;
use crate::verdict;

/// Limits the requests and bytes in flight on an entry VM by priority.
///
/// Bulk requests may use one share of the capacity, normal requests a larger
/// share and critical requests all of it. When capacity is short, bulk requests
/// such as catalogue intake are refused first and orders last.
#[derive(Clone, Debug)]
pub struct PriorityGate {
    bulk_share_percent: u64,
    in_flight_bytes: u64,
    in_flight_requests: u64,
    max_bytes: u64,
    max_requests: u64,
    normal_share_percent: u64,
}

impl PriorityGate {
    /// Creates a gate without requests in flight.
    #[must_use]
    pub fn new(config: &admission::AdmissionConfig) -> Self {
        Self {
            bulk_share_percent: u64::from(config.bulk_share_percent),
            in_flight_bytes: 0,
            in_flight_requests: 0,
            max_bytes: config.in_flight_bytes,
            max_requests: u64::from(config.in_flight_requests),
            normal_share_percent: u64::from(config.normal_share_percent),
        }
    }

    /// Admits a request that holds `bytes` of this entry VM's memory.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the given `retry_after_ms` when the capacity for
    /// this priority is used up.
    pub fn try_start(
        &mut self,
        priority: bundle::Priority,
        bytes: u64,
        retry_after_ms: u64,
    ) -> Result<(), verdict::Refusal> {
        let share_percent = self.share_percent(priority);
        let in_flight_requests = self.in_flight_requests + 1;
        let in_flight_bytes = self.in_flight_bytes.saturating_add(bytes);
        let fits = in_flight_requests <= self.max_requests * share_percent / 100
            && in_flight_bytes <= self.max_bytes / 100 * share_percent;
        if !fits {
            let reason = verdict::RefusalReason::ServiceLimit;
            return Err(verdict::Refusal::not_run(reason, retry_after_ms));
        }
        self.in_flight_requests = in_flight_requests;
        self.in_flight_bytes = in_flight_bytes;
        Ok(())
    }

    /// Releases a request that was admitted with `bytes`.
    pub fn finish(&mut self, bytes: u64) {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        self.in_flight_bytes = self.in_flight_bytes.saturating_sub(bytes);
    }

    /// Returns the number of bytes in flight.
    #[must_use]
    pub const fn in_flight_bytes(&self) -> u64 {
        self.in_flight_bytes
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight_requests(&self) -> u64 {
        self.in_flight_requests
    }

    const fn share_percent(&self, priority: bundle::Priority) -> u64 {
        match priority {
            bundle::Priority::Bulk => self.bulk_share_percent,
            bundle::Priority::Normal => self.normal_share_percent,
            bundle::Priority::Critical => 100,
        }
    }
}
