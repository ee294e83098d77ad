//! HTTP client for backend servers and other entry VMs.

use std::io;
use std::net;
use std::time;

use volo_http::body;
use volo_http::client;
use volo_http::error;
use volo_http::response;

use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::reply;
use crate::http1;

/// Maximum number of idle connections kept per server. With 36 entry VMs the
/// idle connections stay well below the 330 connections that a server accepts.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 6;
/// Time after which an idle connection is closed. It is shorter than the
/// servers' own timeout, so that requests rarely use a connection that the
/// server is closing.
const IDLE_CONNECTION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Sends requests over pooled connections. The connection of a cancelled
/// request is closed and not reused.
#[derive(Clone)]
pub struct ServerClient {
    client: client::Client,
}

/// Reason why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum SendError {
    /// No connection was established, so no byte was sent.
    #[snafu(display("no connection was established"))]
    Connect,
    /// The connection was lost after bytes may have been sent.
    #[snafu(display("the connection was lost"))]
    ConnectionLost,
    /// The deadline passed after bytes may have been sent.
    #[snafu(display("the deadline passed"))]
    TimedOut,
}

impl ServerClient {
    /// Creates a client without connections.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the client cannot be built.
    pub fn new() -> Result<Self, error::ClientError> {
        let mut builder = client::ClientBuilder::new();
        builder.set_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_SERVER);
        builder.set_pool_idle_timeout(IDLE_CONNECTION_TIMEOUT);
        Ok(Self {
            client: builder.build()?,
        })
    }

    /// Sends a request to `address` and returns the response as soon as its
    /// head has arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which states whether any byte may have been
    /// sent.
    pub async fn send<B>(
        &self,
        address: net::SocketAddr,
        head: &http::request::Parts,
        body: B,
        deadline: tokio::time::Instant,
    ) -> Result<response::Response, SendError>
    where
        B: http_body::Body<Data = bytes::Bytes> + Send + Sync + 'static,
        B::Error: Into<error::BoxError>,
    {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut builder = self
            .client
            .request_builder()
            .method(head.method.clone())
            .uri(format!("http://{address}{path}"));
        *builder.headers_mut() = head.headers.clone();
        let sent = builder.body(body::Body::from_body(body)).send();
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) if is_connect_failure(&failure) => Err(SendError::Connect),
            Ok(Err(_)) => Err(SendError::ConnectionLost),
            Err(_) => Err(SendError::TimedOut),
        }
    }
}

/// Returns whether no connection was established, so that no byte was sent.
///
/// The HTTP library reports the operating system's error as the direct source
/// only for failed connection attempts. Later failures are wrapped in an HTTP
/// error.
fn is_connect_failure(failure: &error::ClientError) -> bool {
    let cause = std::error::Error::source(failure).and_then(|cause| cause.downcast_ref());
    let Some(cause): Option<&io::Error> = cause else {
        return false;
    };
    matches!(
        cause.kind(),
        io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut
    )
}

/// Returns the head of the forwarded request: the caller's head without
/// connection headers, with the request id and the time left.
#[must_use]
pub fn forwarded_head(
    head: &http::request::Parts,
    request_id: &str,
    time_left_ms: u64,
) -> http::request::Parts {
    let mut forwarded = head.clone();
    forwarded.extensions.clear();
    http1::remove_connection_headers(&mut forwarded.headers);
    forwarded.headers.remove(http::header::HOST);
    forwarded.headers.remove(header_names::HOP);
    reply::set_header(&mut forwarded.headers, header_names::REQUEST_ID, request_id);
    reply::set_header(
        &mut forwarded.headers,
        header_names::DEADLINE_MS,
        &time_left_ms.to_string(),
    );
    forwarded
}

/// Returns whether the response carries the id of this request.
#[must_use]
pub fn is_response_to(response: &response::Response, request_id: &str) -> bool {
    let echoed = response.headers().get(header_names::REQUEST_ID);
    echoed.is_some_and(|echoed| echoed == request_id)
}

/// Returns whether a truncated body can be detected. A body that ends when its
/// connection closes could be truncated unnoticed.
#[must_use]
pub fn has_delimited_body(response: &response::Response, method: &http::Method) -> bool {
    let headers = response.headers();
    method == http::Method::HEAD
        || response.status() == http::StatusCode::NO_CONTENT
        || response.status() == http::StatusCode::NOT_MODIFIED
        || headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}
