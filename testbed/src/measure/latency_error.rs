//! Errors of a latency measurement.

use std::net;

use crate::caller;

/// An error of a latency measurement.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LatencyError {
    /// The HTTP client could not be built.
    #[snafu(display("{source}"))]
    Client {
        /// The cause.
        source: caller::CallerError,
    },
    /// A histogram could not be created.
    #[snafu(display("could not create a histogram: {source}"))]
    Histogram {
        /// The cause.
        source: hdrhistogram::CreationError,
    },
    /// The home did not provide a key prefix.
    #[snafu(display("{home} has no key prefix because it has no witness yet"))]
    KeyPrefix {
        /// Caller address of the home.
        home: net::SocketAddr,
    },
}
