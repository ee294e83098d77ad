//! Error of a call to another entry VM.

use std::net;

/// Error of a call to another entry VM. The peer may have received the request
/// all the same.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The connection could not be opened.
    #[snafu(display("{address}: cannot connect: {source}"))]
    Connect {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection was lost or the reply was invalid.
    #[snafu(display("{address}: {source}"))]
    Rpc {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Error of the RPC library.
        source: tarpc::client::RpcError,
    },
    /// No reply arrived within the timeout.
    #[snafu(display("{address}: no reply within the timeout"))]
    TimedOut {
        /// Address of the peer.
        address: net::SocketAddr,
    },
}
