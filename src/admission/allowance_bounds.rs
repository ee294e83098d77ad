//! Bounds on the requests of an organisation over all entry VMs.

use crate::ports;

const MILLI: u64 = 1_000;
/// Millionths of a request per thousandth of a request.
const MICRO_PER_MILLI: u64 = 1_000;
const MICRO: u64 = 1_000_000;

/// Bounds on the requests of an organisation over all entry VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceBounds {
    /// Requests allowed in each window beyond rate and burst, in permille of those.
    pub overshoot_permille: u64,
    /// The same, as a number of requests in addition to `overshoot_permille`.
    pub slack_count: u64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

impl AllowanceBounds {
    /// Returns the part of the overshoot, in permille of rate and burst, that is added to
    /// every allowance.
    ///
    /// Lost reports forfeit a part of the refill, and some admitted requests reach no
    /// server. Without the addition, the fleet lets through less than the rate of an
    /// organisation that presses its limit.
    const fn headroom_permille(&self) -> u64 {
        self.overshoot_permille / 2
    }

    /// Returns an allowance with its part of the overshoot.
    pub(crate) const fn with_headroom(&self, allowance: ports::Allowance) -> ports::Allowance {
        let permille = MILLI + self.headroom_permille();
        ports::Allowance {
            burst_milli: allowance.burst_milli.saturating_mul(permille) / MILLI,
            rate_milli_per_s: allowance.rate_milli_per_s.saturating_mul(permille) / MILLI,
        }
    }

    /// Returns the bounds on allowances that include their part of the overshoot.
    pub(crate) const fn without_headroom(self) -> Self {
        let permille = MILLI + self.headroom_permille();
        Self {
            overshoot_permille: (MILLI + self.overshoot_permille) * MILLI / permille - MILLI,
            ..self
        }
    }

    /// Returns the size of an allowance's token bucket, in millionths of a request: at
    /// least one request, since nothing would be admitted otherwise.
    pub(crate) fn size_micro(allowance: &ports::Allowance) -> u64 {
        allowance.burst_milli.max(MILLI) * MICRO_PER_MILLI
    }

    /// Returns how far the fleet may exceed rate and burst in a window, in millionths
    /// of a request.
    ///
    /// A burst below one request counts as it is configured here, since the contract's
    /// bound does.
    pub(crate) fn tolerance_micro(&self, allowance: &ports::Allowance) -> u64 {
        let rate_micro = allowance.rate_milli_per_s.saturating_mul(self.window_ms);
        let burst_micro = allowance.burst_milli.saturating_mul(MICRO_PER_MILLI);
        let allowed_micro = rate_micro.saturating_add(burst_micro);
        // What rounding a small burst up to one request adds is part of the tolerance.
        let rounding_micro = Self::size_micro(allowance) - burst_micro;
        (allowed_micro / MILLI).saturating_mul(self.overshoot_permille)
            + (self.slack_count * MICRO).saturating_sub(rounding_micro)
    }
}
