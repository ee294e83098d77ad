//! Encoding of messages between entry VMs on a TCP connection.

use tarpc::serde_transport;
use tarpc::tokio_serde::formats;
use tarpc::tokio_util::codec;
use tokio::net::TcpStream;

/// A TCP connection that carries JSON messages with a length prefix.
pub type Transport<Item, SinkItem> =
    serde_transport::Transport<TcpStream, Item, SinkItem, formats::Json<Item, SinkItem>>;

/// Creates a transport from a TCP connection.
///
/// Disables Nagle's algorithm, so that a small message does not wait for the
/// acknowledgement of the previous one.
///
/// # Errors
///
/// Returns the operating system's error if the socket option cannot be set.
pub fn from_stream<Item, SinkItem>(stream: TcpStream) -> std::io::Result<Transport<Item, SinkItem>>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let framed = codec::Framed::new(stream, codec::LengthDelimitedCodec::new());
    Ok(serde_transport::new(framed, formats::Json::default()))
}
