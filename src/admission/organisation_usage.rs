//! Usage of one organisation.

use crate::bundle;

const MILLI_PER_REQUEST: u64 = 1_000;

/// Rate and concurrency usage of one organisation on this entry VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrganisationUsage {
    in_flight_requests: u32,
    rate_per_s: u32,
    updated_ms: u64,
    /// Used part of the token bucket, in thousandths of a request.
    used_milli: u64,
}

impl OrganisationUsage {
    /// Creates the usage of an idle organisation.
    pub(crate) const fn idle(now_ms: u64) -> Self {
        Self {
            in_flight_requests: 0,
            rate_per_s: 0,
            updated_ms: now_ms,
            used_milli: 0,
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
        let used_milli = self.used_milli + MILLI_PER_REQUEST;
        if used_milli > burst_milli {
            let over_milli = used_milli - burst_milli;
            return Err(over_milli.div_ceil(u64::from(limit.rate_per_s.max(1))));
        }
        self.used_milli = used_milli;
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
        self.used_milli == 0 && self.in_flight_requests == 0
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        // One request per second equals one thousandth of a request per
        // millisecond.
        let refilled_milli = elapsed_ms.saturating_mul(u64::from(self.rate_per_s));
        self.used_milli = self.used_milli.saturating_sub(refilled_milli);
    }
}
