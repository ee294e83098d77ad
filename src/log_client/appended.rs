//! Confirmation of an append.

/// Confirmation that the log has stored a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Appended {
    /// Offset of the record in its stream.
    pub offset: u64,
}
