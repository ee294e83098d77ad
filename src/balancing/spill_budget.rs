//! Budget of traffic to other regions.

use crate::bundle;
use crate::configs::balancing;

/// Size of the burst, as milliseconds at the full rate.
const BURST_MS: u64 = 1_000;
/// Part of the burst that bulk requests may not use, in percent.
const BULK_RESERVE_PERCENT: u64 = 50;
/// Part of the burst that normal requests may not use, in percent.
const NORMAL_RESERVE_PERCENT: u64 = 20;

/// Token bucket that limits the bytes that one entry VM spills to other
/// regions.
///
/// Bytes are counted when they are transferred, after the request was admitted,
/// so the number of tokens may become negative. No further request may spill
/// until it is positive again.
#[derive(Clone, Debug)]
pub struct SpillBudget {
    bytes_per_s: u64,
    tokens_milli: i64,
    spilled_bytes: u64,
    spilled_requests: u64,
    updated_ms: u64,
}

impl SpillBudget {
    /// Creates a budget with a full burst.
    #[must_use]
    pub fn new(config: &balancing::BalancingConfig) -> Self {
        let bytes_per_s = config.spill_bytes_per_s.min(u64::from(u32::MAX));
        Self {
            bytes_per_s,
            tokens_milli: (bytes_per_s * BURST_MS).cast_signed(),
            spilled_bytes: 0,
            spilled_requests: 0,
            updated_ms: 0,
        }
    }

    /// Returns whether a request of this priority may spill now.
    pub fn may_spill(&mut self, now_ms: u64, priority: bundle::Priority) -> bool {
        self.refill(now_ms);
        let reserve_percent = match priority {
            bundle::Priority::Bulk => BULK_RESERVE_PERCENT,
            bundle::Priority::Normal => NORMAL_RESERVE_PERCENT,
            bundle::Priority::Critical => 0,
        };
        let reserve_milli = self.burst_milli() * reserve_percent.cast_signed() / 100;
        self.tokens_milli > reserve_milli
    }

    /// Records a request that spilled.
    pub fn record_request(&mut self) {
        self.spilled_requests += 1;
    }

    /// Records bytes of requests or responses that were transferred to or from
    /// another region.
    pub fn record_bytes(&mut self, now_ms: u64, bytes: u64) {
        self.refill(now_ms);
        self.spilled_bytes += bytes;
        let spent_milli = i64::try_from(bytes.saturating_mul(1_000)).unwrap_or(i64::MAX);
        self.tokens_milli = self.tokens_milli.saturating_sub(spent_milli);
    }

    /// Returns the number of bytes spilled since the start.
    #[must_use]
    pub const fn spilled_bytes(&self) -> u64 {
        self.spilled_bytes
    }

    /// Returns the number of requests spilled since the start.
    #[must_use]
    pub const fn spilled_requests(&self) -> u64 {
        self.spilled_requests
    }

    const fn burst_milli(&self) -> i64 {
        (self.bytes_per_s * BURST_MS).cast_signed()
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        // One byte per second equals one thousandth of a byte per millisecond.
        let added_milli = elapsed_ms.saturating_mul(self.bytes_per_s);
        let added_milli = i64::try_from(added_milli).unwrap_or(i64::MAX);
        let tokens_milli = self.tokens_milli.saturating_add(added_milli);
        self.tokens_milli = tokens_milli.min(self.burst_milli());
    }
}
