//! Record as stored in the log.

/// Record as stored in the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LogRecord {
    /// Time of the append, in milliseconds since the Unix epoch by the log's
    /// clock.
    pub appended_unix_ms: u64,
    /// Appended text: a [`crate::config_fold::Record`] as JSON, unless it is
    /// malformed.
    pub body: String,
    /// Offset of the record in its stream.
    pub offset: u64,
}
