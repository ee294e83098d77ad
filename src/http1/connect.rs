//! Opens connections that find out by themselves when their peer is gone.

use std::io;
use std::net;

use tokio::net::TcpStream;

use crate::http1;

/// Keep-alive probes without an answer before the connection is given up.
const KEEPALIVE_PROBES: u32 = 4;

/// Opens a connection.
///
/// # Errors
///
/// Gives the operating system's error; no byte of a request has been sent.
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

/// Has the operating system watch the peer of a connection. Without keep-alive
/// probes and a limit on unacknowledged bytes, a connection across a partition
/// would stay open for many minutes.
///
/// # Errors
///
/// Gives the operating system's error.
pub fn set_socket_options(stream: &TcpStream, options: &http1::SocketOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(options.keepalive)
        .with_interval(options.keepalive)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(options.unacknowledged_timeout))
}
