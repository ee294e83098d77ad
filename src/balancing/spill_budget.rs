//! How much traffic may go to other regions.

use crate::bundle;
use crate::configs::balancing;

/// Bytes that may be saved up, as time at the full rate.
const BURST_MS: u64 = 1_000;
/// Part of the burst that bulk work leaves to other work, in percent.
const BULK_RESERVE_PERCENT: u64 = 50;
/// Part of the burst that normal work leaves to critical work, in percent.
const NORMAL_RESERVE_PERCENT: u64 = 20;

/// Caps and counts the bytes that one entry VM spills to other regions.
///
/// Bytes are counted as they pass, after the request was let through, so the
/// budget may go into debt; nothing more is let through until it is paid off.
#[derive(Clone, Debug)]
pub struct SpillBudget {
    bytes_per_s: u64,
    tokens_milli: i64,
    spilled_bytes: u64,
    spilled_requests: u64,
    updated_ms: u64,
}

impl SpillBudget {
    /// Gives a budget with a full burst.
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

    /// Whether a request of this priority may spill now.
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

    /// Counts a request that spilled.
    pub fn record_request(&mut self) {
        self.spilled_requests += 1;
    }

    /// Counts bytes of requests or answers that crossed to or from another
    /// region.
    pub fn record_bytes(&mut self, now_ms: u64, bytes: u64) {
        self.refill(now_ms);
        self.spilled_bytes += bytes;
        let spent_milli = i64::try_from(bytes.saturating_mul(1_000)).unwrap_or(i64::MAX);
        self.tokens_milli = self.tokens_milli.saturating_sub(spent_milli);
    }

    /// Gives the bytes that have spilled since the start.
    #[must_use]
    pub const fn spilled_bytes(&self) -> u64 {
        self.spilled_bytes
    }

    /// Gives the requests that have spilled since the start.
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
        // One byte per second is one thousandth of a byte per millisecond.
        let added_milli = elapsed_ms.saturating_mul(self.bytes_per_s);
        let added_milli = i64::try_from(added_milli).unwrap_or(i64::MAX);
        let tokens_milli = self.tokens_milli.saturating_add(added_milli);
        self.tokens_milli = tokens_milli.min(self.burst_milli());
    }
}
