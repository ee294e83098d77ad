//! Error of parsing a record body.

/// Error of parsing a record body.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RecordError {
    /// The body is not valid JSON, lacks a field, or has a field of another type.
    #[snafu(display("malformed record: {source}"))]
    Malformed {
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// The record has a format that this program does not support.
    #[snafu(display(
        "unsupported record format {format_version}; supported formats are 1 to {known}"
    ))]
    UnknownFormat {
        /// Format of the record.
        format_version: u32,
        /// Newest format that this program supports.
        known: u32,
    },
    /// The record has a kind that this program does not support.
    #[snafu(display("unknown record kind `{kind}`"))]
    UnknownKind {
        /// Kind of the record.
        kind: String,
    },
}
