//! Listening sockets and the HTTP server of the stand-ins.

use std::net;

use snafu::ResultExt as _;
use volo::net::incoming;
use volo_http::{request, response, server};

use crate::http_io;

/// Prints the address of `listener`. Scripts wait for this line.
pub fn print_address(listener: &tokio::net::TcpListener) {
    if let Ok(address) = listener.local_addr() {
        println!("listening on {address}");
    }
}

/// Binds a listener to `address`.
///
/// # Errors
///
/// Returns an error if the address is in use or not local.
pub fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, http_io::ServeError> {
    let listener =
        net::TcpListener::bind(address).context(http_io::serve_error::ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(http_io::serve_error::ListenSnafu { address })?;
    tokio::net::TcpListener::from_std(listener)
        .context(http_io::serve_error::ListenSnafu { address })
}

/// Handles every request on `listener` with `handler`, until a signal ends the
/// process.
///
/// # Errors
///
/// Returns an error if the HTTP server fails.
pub async fn serve<H, F>(
    listener: tokio::net::TcpListener,
    handler: H,
) -> Result<(), http_io::ServeError>
where
    H: Fn(request::Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = response::Response> + Send + 'static,
{
    let router: server::Router =
        server::Router::new().fallback(move |request: request::Request| handler(request));
    server::Server::new(router)
        .run(incoming::DefaultIncoming::from(listener))
        .await
        .map_err(|error| http_io::ServeError::Serve {
            message: error.to_string(),
        })
}
