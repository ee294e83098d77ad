//! Serving a handler on a listener.

use std::net;

use snafu::ResultExt as _;
use volo::net::incoming;
use volo_http::{request, response, server};

use crate::http_io;

/// Prints the address that a stand-in listens on, for scripts to wait for.
pub fn print_address(listener: &tokio::net::TcpListener) {
    if let Ok(address) = listener.local_addr() {
        println!("listening on {address}");
    }
}

/// Listens on `address`.
///
/// # Errors
///
/// Fails if the address is taken or not local.
pub fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, http_io::ServeError> {
    let listener =
        net::TcpListener::bind(address).context(http_io::serve_error::ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(http_io::serve_error::ListenSnafu { address })?;
    tokio::net::TcpListener::from_std(listener)
        .context(http_io::serve_error::ListenSnafu { address })
}

/// Serves every request on `listener` by `handler`, until a signal ends the
/// process.
///
/// # Errors
///
/// Fails if the HTTP server does.
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
