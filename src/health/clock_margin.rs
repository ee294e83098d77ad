//! Allowance for the rate error of clocks.

const MILLION: u64 = 1_000_000;

/// Allowance for the rate error of monotonic clocks.
///
/// Applied to a time span that one process measures and another one relies on.
/// The span is shortened where it must not end late, and lengthened where it
/// must not end early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockMargin {
    rate_error_ppm: u64,
}

impl ClockMargin {
    /// Creates the allowance for clocks whose rate is off by up to
    /// `rate_error_ppm` parts per million in either direction. The error is
    /// limited to 250 000 parts per million.
    #[must_use]
    pub fn new(rate_error_ppm: u64) -> Self {
        Self {
            rate_error_ppm: rate_error_ppm.min(MILLION / 4),
        }
    }

    /// Returns a span that ends on this clock no later than `span_ms` on any
    /// other clock.
    #[must_use]
    pub fn shorten(self, span_ms: u64) -> u64 {
        let error_ms = self.error_ms(span_ms);
        span_ms.saturating_sub(error_ms)
    }

    /// Returns a span that ends on this clock no earlier than `span_ms` on any
    /// other clock.
    #[must_use]
    pub fn lengthen(self, span_ms: u64) -> u64 {
        let error_ms = self.error_ms(span_ms);
        span_ms.saturating_add(error_ms)
    }

    /// Returns the largest difference between two clocks over the span. Two
    /// clocks may be off in opposite directions, which adds up to twice the
    /// error of one plus the product of both errors. Three times the error of
    /// one covers this. One millisecond is added for rounding.
    fn error_ms(self, span_ms: u64) -> u64 {
        let triple_ppm = u128::from(self.rate_error_ppm) * 3;
        let error_ms = u128::from(span_ms) * triple_ppm / u128::from(MILLION) + 1;
        u64::try_from(error_ms).unwrap_or(u64::MAX)
    }
}
