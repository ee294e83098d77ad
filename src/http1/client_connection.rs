//! Client side of an HTTP/1.1 connection.

use std::io;
use std::net;
use std::sync;

use hyper::client::conn::http1 as hyper_client;
use hyper_util::rt;

use crate::http1;

/// Maximum size of a response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;

/// Body of an outgoing request.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// Connection to a server that carries one request at a time. Dropping it
/// closes the connection, even if a response has not been received completely.
pub struct ClientConnection {
    driver: tokio::task::JoinHandle<()>,
    read_limit: sync::Arc<http1::ReadLimit>,
    sender: hyper_client::SendRequest<RequestBody>,
}

/// Error of a request that got no response.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ExchangeError {
    /// The connection was closed before any byte of the request was written, so
    /// the server has not run the request.
    #[snafu(display("connection closed before the request was written"))]
    NotSent,
    /// The connection broke, or the response is not valid HTTP. The server may
    /// have run the request.
    #[snafu(display("connection broken: {source}"))]
    ConnectionBroken {
        /// Error of the connection.
        source: hyper::Error,
    },
}

impl ClientConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened in time. No byte of a
    /// request has been sent then.
    pub async fn open(
        address: net::SocketAddr,
        options: &http1::SocketOptions,
    ) -> io::Result<Self> {
        let stream = http1::connect(address, options).await?;
        let (stream, read_limit) = http1::WatchedStream::new(stream, options);
        let handshake = hyper_client::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .preserve_header_case(false)
            .handshake(rt::TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // `exchange` reports an error of the connection to its caller.
            let _ = connection.await;
        });
        Ok(Self {
            driver,
            read_limit,
            sender,
        })
    }

    /// Returns whether the connection is open and no request is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && !self.driver.is_finished()
    }

    /// Returns whether the server has not closed the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the response once its head has been
    /// received.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`] if no byte of the request was
    /// written, and [`ExchangeError::ConnectionBroken`] if some may have been.
    pub async fn exchange(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<http::Response<http1::ResponseBody>, ExchangeError> {
        if self.sender.ready().await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        self.read_limit.begin_response();
        let response = self.sender.try_send_request(request).await;
        self.read_limit.end_head();
        match response {
            Ok(response) => {
                let read_limit = sync::Arc::clone(&self.read_limit);
                Ok(response.map(|body| http1::ResponseBody::new(body, read_limit)))
            }
            Err(error) if error.message().is_some() => Err(ExchangeError::NotSent),
            Err(error) => Err(ExchangeError::ConnectionBroken {
                source: error.into_error(),
            }),
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
