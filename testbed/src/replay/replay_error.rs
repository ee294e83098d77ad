//! Errors of a replay.

use std::io;

/// An error of a replay.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ReplayError {
    /// The plot could not be drawn.
    #[snafu(display("{path}: {message}"))]
    Draw {
        /// Message of the plotting library.
        message: String,
        /// Path of the file.
        path: String,
    },
    /// The scenario file could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The scenario is invalid.
    #[snafu(display("{path}: {source}"))]
    Scenario {
        /// Path of the file.
        path: String,
        /// Error of the YAML parser.
        source: Box<serde_saphyr::Error>,
    },
}
