//! Errors of parsing a gray mode.

/// Errors of parsing a gray mode.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum GrayModeError {
    /// The text is not the JSON of a known mode.
    #[snafu(display("invalid gray mode: {source}"))]
    Malformed {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A number of the mode is out of range.
    #[snafu(display("{field} must lie between {min} and {max}, found {value}"))]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Highest valid value.
        max: f64,
        /// Lowest valid value.
        min: f64,
        /// Value found.
        value: f64,
    },
}
