//! Rate at which requests complete.

/// Time constant of the moving average, in milliseconds.
const AVERAGING_MS: u64 = 2_000;
/// Number of fraction bits of the fixed-point count.
const FRACTION_BITS: u32 = 16;

/// Rate at which requests complete, averaged over the last few seconds.
///
/// The count of completions decays exponentially, by one part in
/// [`AVERAGING_MS`] per millisecond.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionRate {
    /// Fixed-point number with [`FRACTION_BITS`] fraction bits.
    decayed_count: u64,
    updated_ms: u64,
}

impl CompletionRate {
    /// Records a completed request.
    pub(crate) fn record_completion(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.decayed_count += 1 << FRACTION_BITS;
    }

    /// Returns the number of completed requests per second, at least 1.
    pub(crate) fn per_s(&mut self, now_ms: u64) -> u64 {
        self.decay(now_ms);
        let per_s = (self.decayed_count * 1_000 / AVERAGING_MS) >> FRACTION_BITS;
        per_s.max(1)
    }

    /// Returns the number of completed requests per second, in thousandths.
    pub(crate) fn milli_per_s(&mut self, now_ms: u64) -> u64 {
        self.decay(now_ms);
        (self.decayed_count * 1_000 / AVERAGING_MS * 1_000) >> FRACTION_BITS
    }

    /// Returns the standard error of [`Self::milli_per_s`], if requests complete
    /// independently of each other.
    pub(crate) fn error_milli_per_s(&mut self, now_ms: u64) -> u64 {
        self.decay(now_ms);
        // The variance of a count that decays exponentially is half of its mean.
        let variance = self.decayed_count >> (FRACTION_BITS + 1);
        variance.isqrt() * 1_000_000 / AVERAGING_MS
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
