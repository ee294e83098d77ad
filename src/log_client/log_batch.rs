//! Records read from the log.

use crate::config_fold;

/// Records read from one stream of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LogBatch {
    /// Offset of the oldest record that has not expired.
    pub first_offset: u64,
    /// Offset that the next appended record will get.
    pub next_offset: u64,
    /// Records in offset order; empty if the requested offset has expired or
    /// equals `next_offset`.
    pub records: Vec<config_fold::LogRecord>,
}
