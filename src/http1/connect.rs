//! Opens TCP connections that detect an unreachable peer.

use std::io;
use std::net;

use tokio::net::TcpStream;

use crate::http1;

/// Opens a TCP connection to `address`.
///
/// # Errors
///
/// Returns the operating system's error, or [`io::ErrorKind::TimedOut`] after
/// `options.connect_timeout`. No byte of a request has been sent then.
pub async fn connect(
    address: net::SocketAddr,
    options: &http1::SocketOptions,
) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(options.connect_timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, options)?;
    Ok(stream)
}

/// Disables Nagle's algorithm, and enables keep-alive probes on a connection that carries
/// nothing. Without them, it would stay open for many minutes across a network partition.
///
/// The system sends no such probes while written bytes wait for the peer. Then
/// [`http1::PeerTimer`] watches the connection. The system's own timeout for unacknowledged
/// bytes is set only where the state of a connection cannot be read: it also ends connections
/// whose peers acknowledge all probes and keep their windows closed for so long.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn set_socket_options(stream: &TcpStream, options: &http1::SocketOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(options.keepalive)
        .with_interval(options.keepalive)
        .with_retries(options.keepalive_probe_count());
    socket.set_tcp_keepalive(&keepalive)?;
    if http1::TcpState::read(stream).is_none() {
        socket.set_tcp_user_timeout(Some(options.unacknowledged_timeout))?;
    }
    Ok(())
}
