//! Errors of starting a caller.

use std::io;

/// Errors of starting a caller.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CallerError {
    /// The HTTP client cannot be created.
    #[snafu(display("cannot build the HTTP client: {source}"))]
    Client {
        /// Error of the library.
        source: volo_http::error::ClientError,
    },
    /// The histogram of latencies cannot be created.
    #[snafu(display("cannot make the histogram: {source}"))]
    Histogram {
        /// Error of the library.
        source: hdrhistogram::CreationError,
    },
    /// The history file cannot be created.
    #[snafu(display("cannot write the history: {source}"))]
    History {
        /// Error of the operating system.
        source: io::Error,
    },
}
