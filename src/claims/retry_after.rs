//! The retry-after time of a refusal.

use xxhash_rust::xxh3;

use crate::configs::claims;

/// Returns the time after which a refused caller should retry: between one and
/// two times the configured time, depending on the attempt, so that callers do
/// not retry at the same time.
pub fn retry_after_ms(config: &claims::ClaimsConfig, attempt_id: u64) -> u64 {
    let spread = xxh3::xxh3_64(&attempt_id.to_le_bytes());
    config.retry_after_ms + spread % (config.retry_after_ms + 1)
}
