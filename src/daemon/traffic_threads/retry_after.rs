//! Delays before retries of refused requests.

/// Returns a random delay between `base_ms` and twice `base_ms`, in
/// milliseconds, so that callers that were refused at the same time do not
/// retry at the same time.
#[must_use]
pub fn jittered_ms(base_ms: u64) -> u64 {
    base_ms + rand::random_range(0..=base_ms)
}
