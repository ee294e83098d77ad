//! Record of a stream.

/// Record of a stream.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Time of the append, in milliseconds since the Unix epoch.
    pub appended_unix_ms: u64,
    /// Content of the record.
    pub body: String,
    /// Offset of the record in its stream, from 0.
    pub offset: u64,
}
