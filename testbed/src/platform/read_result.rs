//! Result of a read from a stream.

use crate::platform;

/// Result of a read from a stream.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReadResult {
    /// Lowest retained offset; equals `next_offset` if no record is retained.
    pub first_offset: u64,
    /// Offset of the next record to be appended.
    pub next_offset: u64,
    /// Records read, in order of their offsets.
    pub records: Vec<platform::Record>,
}

impl ReadResult {
    /// Returns whether records at or after offset `from` have expired.
    #[must_use]
    pub const fn is_expired(&self, from: u64) -> bool {
        from < self.first_offset
    }
}
