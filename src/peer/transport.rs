//! How messages between entry VMs go over TCP.

use tarpc::serde_transport;
use tarpc::tokio_serde::formats;
use tarpc::tokio_util::codec;
use tokio::net::TcpStream;

/// A connection that carries messages as JSON, each behind its length.
pub type Transport<Item, SinkItem> =
    serde_transport::Transport<TcpStream, Item, SinkItem, formats::Json<Item, SinkItem>>;

/// Gives the transport over a connection.
///
/// Messages go out at once: a small one must not wait for the acknowledgement
/// of the one before.
///
/// # Errors
///
/// Gives the operating system's error when the connection is broken.
pub fn from_stream<Item, SinkItem>(stream: TcpStream) -> std::io::Result<Transport<Item, SinkItem>>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let framed = codec::Framed::new(stream, codec::LengthDelimitedCodec::new());
    Ok(serde_transport::new(framed, formats::Json::default()))
}
