//! Errors of parsing an idempotency key.

use crate::verdict;

/// Reason why an idempotency key was rejected.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum KeyError {
    /// The caller's own part holds bytes other than visible ASCII.
    #[snafu(display(
        "the part of the key after the prefix may contain visible ASCII characters only"
    ))]
    CallerKeyCharacter,
    /// The caller's own part is empty or too long.
    #[snafu(display(
        "the part of the key after the prefix has {length_bytes} bytes, expected 1 to {limit_bytes}"
    ))]
    CallerKeyLength {
        /// Actual length.
        length_bytes: usize,
        /// Maximum length.
        limit_bytes: usize,
    },
    /// The prefix does not match its checksum.
    #[snafu(display("the key prefix does not match its checksum"))]
    PrefixChecksum,
    /// The prefix cannot be decoded.
    #[snafu(display("the key prefix cannot be decoded"))]
    PrefixMalformed,
    /// The prefix has a format version that this release does not know.
    #[snafu(display("the key prefix has the unknown format version {format}"))]
    PrefixFormat {
        /// Format version of the prefix.
        format: u8,
    },
    /// The key has no prefix.
    #[snafu(display("the key has no prefix, expected `prefix.own-key`"))]
    PrefixMissing,
}

impl KeyError {
    /// Returns the refusal to reply with.
    ///
    /// Every VM rejects such a key, so no request with it ever ran, and the
    /// caller can retry with a key that has a valid prefix. The exception is an
    /// unknown format: a VM of another release may know it, so the request may
    /// have run.
    #[must_use]
    pub const fn refusal(&self, retry_after_ms: u64) -> verdict::Refusal {
        let reason = verdict::RefusalReason::KeyPrefixMissing;
        match self {
            Self::PrefixFormat { .. } => verdict::Refusal::may_have_run(reason, retry_after_ms),
            _ => verdict::Refusal::not_run(reason, retry_after_ms),
        }
    }
}
