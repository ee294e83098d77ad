//! Why a gray mode is not taken.

/// Why a gray mode is not taken.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum GrayModeError {
    /// The text is no JSON of a known mode.
    #[snafu(display("no gray mode: {source}"))]
    Malformed {
        /// What does not fit.
        source: serde_json::Error,
    },
    /// A number of the mode makes no sense.
    #[snafu(display("{field} must lie between {min} and {max}, found {value}"))]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Highest value taken.
        max: f64,
        /// Lowest value taken.
        min: f64,
        /// The value found.
        value: f64,
    },
}
