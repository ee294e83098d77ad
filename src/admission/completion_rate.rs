//! How fast requests end.

/// Time over which the rate is averaged, in milliseconds.
const AVERAGING_MS: u64 = 2_000;
/// Bits of the fraction in the averaged count.
const FRACTION_BITS: u32 = 16;

/// Rate at which requests end, averaged over the last few seconds.
///
/// The count of ends decays by a fraction for each millisecond that passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionRate {
    decayed_count: u64,
    updated_ms: u64,
}

impl CompletionRate {
    /// Counts a request that ended.
    pub(crate) fn record_completion(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.decayed_count += 1 << FRACTION_BITS;
    }

    /// Gives the requests that end per second, at least one.
    pub(crate) fn per_s(&mut self, now_ms: u64) -> u64 {
        self.decay(now_ms);
        let per_s = (self.decayed_count * 1_000 / AVERAGING_MS) >> FRACTION_BITS;
        per_s.max(1)
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        if elapsed_ms >= AVERAGING_MS * 4 {
            self.decayed_count = 0;
            return;
        }
        for _ in 0..elapsed_ms {
            self.decayed_count -= self.decayed_count / AVERAGING_MS;
        }
    }
}
