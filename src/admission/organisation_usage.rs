//! Usage of one organisation.

use crate::admission::token_bucket;
use crate::bundle;

const MILLI_PER_REQUEST: u64 = 1_000;

/// Rate and concurrency usage of one organisation on this entry VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrganisationUsage {
    /// Token bucket, in thousandths of a request.
    bucket: token_bucket::TokenBucket,
    in_flight_requests: u32,
    rate_per_s: u32,
    updated_ms: u64,
}

impl OrganisationUsage {
    /// Creates the usage of an idle organisation.
    pub(crate) const fn idle(now_ms: u64) -> Self {
        Self {
            bucket: token_bucket::TokenBucket::with_used(0),
            in_flight_requests: 0,
            rate_per_s: 0,
            updated_ms: now_ms,
        }
    }

    /// Admits a request if the limits allow it.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the rate limit admits the
    /// request; 0 when too many requests are in flight.
    pub(crate) fn try_start(
        &mut self,
        now_ms: u64,
        limit: &bundle::OrganisationLimit,
    ) -> Result<(), u64> {
        self.rate_per_s = limit.rate_per_s;
        self.refill(now_ms);
        if self.in_flight_requests >= limit.in_flight_requests {
            return Err(0);
        }
        let burst_milli = u64::from(limit.burst_requests.max(1)) * MILLI_PER_REQUEST;
        if let Err(missing_milli) = self.bucket.try_take(MILLI_PER_REQUEST, burst_milli) {
            return Err(missing_milli.div_ceil(u64::from(limit.rate_per_s.max(1))));
        }
        self.in_flight_requests += 1;
        Ok(())
    }

    /// Releases an admitted request.
    pub(crate) fn finish(&mut self) {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
    }

    /// Returns whether requests are in flight.
    pub(crate) const fn is_in_flight(&self) -> bool {
        self.in_flight_requests > 0
    }

    /// Returns whether this usage equals that of an idle organisation, so that
    /// evicting it changes no decision.
    pub(crate) fn is_idle(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.bucket.is_full() && self.in_flight_requests == 0
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        // One request per second equals one thousandth of a request per
        // millisecond.
        let refilled_milli = elapsed_ms.saturating_mul(u64::from(self.rate_per_s));
        self.bucket.refill(refilled_milli);
    }
}
