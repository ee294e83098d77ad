//! HTTP/1.1 connections that carry one request at a time.

mod client_connection;
mod connect;
mod connection_headers;
mod interim_counter;
mod peer_timer;
mod peer_watch;
mod read_limit;
mod response_body;
mod socket_options;
mod tcp_state;
mod watched_stream;

pub use client_connection::{ClientConnection, ExchangeError, RequestBody};
pub use connect::{connect, set_socket_options};
pub use connection_headers::{closes_connection, remove_connection_headers};
pub use interim_counter::InterimCounter;
pub use peer_timer::PeerTimer;
pub use peer_watch::{PeerState, PeerWatch};
pub use read_limit::ReadLimit;
pub use response_body::ResponseBody;
pub use socket_options::SocketOptions;
pub use tcp_state::TcpState;
pub use watched_stream::WatchedStream;
