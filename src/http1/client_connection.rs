//! A connection to a server, for one request at a time.

use std::io;
use std::net;

use hyper::client::conn::http1 as hyper_client;
use hyper_util::rt;

use crate::http1;

/// Largest head of an answer.
const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;

/// The body of a request that is sent.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// A connection to a server, for one request at a time. Dropping it closes it,
/// also in the middle of an answer.
pub struct ClientConnection {
    driver: tokio::task::JoinHandle<()>,
    sender: hyper_client::SendRequest<RequestBody>,
}

/// Why no answer came.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ExchangeError {
    /// The connection was closed before any byte of the request was written.
    #[snafu(display("the connection was closed before the request was written"))]
    NotSent,
    /// The connection broke, or the answer is not in the protocol.
    #[snafu(display("the connection broke: {source}"))]
    ConnectionBroken {
        /// What the connection said.
        source: hyper::Error,
    },
}

impl ClientConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Gives the operating system's error; no byte of a request has been sent.
    pub async fn open(
        address: net::SocketAddr,
        options: &http1::SocketOptions,
    ) -> io::Result<Self> {
        let stream = http1::connect(address, options).await?;
        let handshake = hyper_client::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .preserve_header_case(false)
            .handshake(rt::TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The exchange that the connection fails reports the error.
            let _ = connection.await;
        });
        Ok(Self { driver, sender })
    }

    /// Tells whether the connection is open and has nothing under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && !self.driver.is_finished()
    }

    /// Sends a request and gives the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether any byte may have been written.
    pub async fn exchange(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<http::Response<hyper::body::Incoming>, ExchangeError> {
        if self.sender.ready().await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
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
