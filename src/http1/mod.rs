//! HTTP/1.1 connections that carry one request at a time.

mod client_connection;
mod connect;
mod connection_headers;
mod socket_options;

pub use client_connection::{ClientConnection, ExchangeError, RequestBody};
pub use connect::{connect, set_socket_options};
pub use connection_headers::{closes_connection, remove_connection_headers};
pub use socket_options::SocketOptions;
