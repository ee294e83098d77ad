//! When refused callers should come back.

/// Gives a time between `base_ms` and twice as much, in milliseconds, so that
/// callers that were refused together do not come back together.
#[must_use]
pub fn jittered_ms(base_ms: u64) -> u64 {
    base_ms + rand::random_range(0..=base_ms)
}
