//! Recent latencies of one server.

/// Number of bins of equal width within each power of two.
const BINS_PER_OCTAVE: u64 = 8;
/// Number of bins. The last one also counts all latencies beyond its range,
/// which ends at about 18 minutes.
pub(super) const BIN_COUNT: usize = 240;
/// Number of responses after which the counts are halved, so that older
/// responses count less.
const HALVING_COUNT: u32 = 512;

/// Histogram of the recent latencies of one server, on a logarithmic scale.
pub(super) struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl LatencyHistogram {
    pub(super) fn new() -> Self {
        Self {
            counts: vec![0; BIN_COUNT],
            total: 0,
        }
    }

    /// Returns the bin of a latency.
    pub(super) fn bin(latency_us: u64) -> usize {
        let latency_us = latency_us.max(1);
        let octave = u64::from(latency_us.ilog2());
        let within = ((u128::from(latency_us) * u128::from(BINS_PER_OCTAVE)) >> octave)
            - u128::from(BINS_PER_OCTAVE);
        let bin = u128::from(octave * BINS_PER_OCTAVE) + within;
        usize::try_from(bin).map_or(BIN_COUNT - 1, |bin| bin.min(BIN_COUNT - 1))
    }

    /// Returns the smallest latency of a bin, in microseconds.
    pub(super) fn start_us(bin: usize) -> u64 {
        let bin = u64::try_from(bin.min(BIN_COUNT - 1)).unwrap_or(0);
        let (octave, within) = (bin / BINS_PER_OCTAVE, bin % BINS_PER_OCTAVE);
        ((BINS_PER_OCTAVE + within) << octave) / BINS_PER_OCTAVE
    }

    pub(super) fn add(&mut self, latency_us: u64) {
        self.counts[Self::bin(latency_us)] += 1;
        self.total += 1;
        if self.total >= HALVING_COUNT {
            self.halve();
        }
    }

    pub(super) fn clear(&mut self) {
        self.counts.fill(0);
        self.total = 0;
    }

    pub(super) fn counts(&self) -> &[u32] {
        &self.counts
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}
