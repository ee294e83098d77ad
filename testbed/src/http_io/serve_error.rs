//! Errors of a stand-in's HTTP server.

use std::{io, net};

/// Errors of a stand-in's HTTP server.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ServeError {
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Requested address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP server ended with an error.
    #[snafu(display("cannot serve: {message}"))]
    Serve {
        /// Error of the HTTP server.
        message: String,
    },
}
