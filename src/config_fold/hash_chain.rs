//! Hash chain over the applied records.

use sha2::Digest as _;

use crate::config_fold;

/// Returns the digest of a history after `record` is appended to it. `before` is
/// the digest of the history without `record`; the digest of an empty history is
/// the empty string.
pub fn extend(before: &str, record: &config_fold::LogRecord) -> String {
    let mut hasher = sha2::Sha256::new();
    hasher.update(before.as_bytes());
    hasher.update(record.offset.to_le_bytes());
    hasher.update(record.appended_unix_ms.to_le_bytes());
    hasher.update(record.body.as_bytes());
    format!("{:x}", hasher.finalize())
}
