//! HTTP client that reads complete responses within a timeout.

use std::error;
use std::io;
use std::net;
use std::time;

use http_body_util::BodyExt as _;
use snafu::ResultExt as _;

use crate::configs;
use crate::log_client;

/// HTTP client that reads complete responses within a timeout.
pub struct HttpClient {
    client: volo_http::client::Client,
    config: configs::LogClientConfig,
}

/// Error returned if no HTTP client can be created from the settings.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("cannot create an HTTP client: {source}"))]
pub struct BuildError {
    source: volo_http::error::ClientError,
}

/// An HTTP response with its complete body.
pub struct Response {
    /// The body.
    pub body: Vec<u8>,
    /// The status code.
    pub status: http::StatusCode,
}

impl HttpClient {
    /// Creates a client with the timeouts and the size limit of `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if no HTTP client can be created from the settings.
    pub fn new(config: configs::LogClientConfig) -> Result<Self, BuildError> {
        let mut builder = volo_http::client::Client::builder();
        builder
            .set_connect_timeout(time::Duration::from_millis(config.connect_timeout_ms))
            .set_request_timeout(time::Duration::from_millis(config.request_timeout_ms));
        Ok(Self {
            client: builder.build().context(BuildSnafu)?,
            config,
        })
    }

    /// Sends a request to `address` and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`log_client::LogError::NoEffect`] if the request was not sent,
    /// and [`log_client::LogError::MayHaveTakenEffect`] after any other
    /// failure.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        method: http::Method,
        path: &str,
        body: String,
    ) -> Result<Response, log_client::LogError> {
        let request_timeout = time::Duration::from_millis(self.config.request_timeout_ms);
        match tokio::time::timeout(
            request_timeout,
            self.call_without_timeout(address, method, path, body),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => {
                may_have_taken_effect(format!("no complete response within {request_timeout:?}"))
            }
        }
    }

    async fn call_without_timeout(
        &self,
        address: net::SocketAddr,
        method: http::Method,
        path: &str,
        body: String,
    ) -> Result<Response, log_client::LogError> {
        let uri = format!("http://{address}{path}");
        let sent = self.client.request(method, uri).data(body).send().await;
        let response: volo_http::response::Response = match sent {
            Ok(response) => response,
            Err(error) => return Err(to_log_error(&error)),
        };
        let status = response.status();
        let limit = self.config.answer_limit_bytes;
        let body = http_body_util::Limited::new(response.into_body(), limit);
        match body.collect().await {
            Ok(collected) => Ok(Response {
                body: collected.to_bytes().to_vec(),
                status,
            }),
            Err(error) => may_have_taken_effect(format!("response body incomplete: {error}")),
        }
    }
}

/// Converts an error of the HTTP library. A request that could not be built, or
/// for which no connection was opened, had no effect on the server; after any
/// other failure it may have had one.
fn to_log_error(error: &volo_http::error::ClientError) -> log_client::LogError {
    use volo_http::error::client::ErrorKind;
    let reason = error.to_string();
    let kind = error.kind();
    if matches!(kind, ErrorKind::Builder | ErrorKind::Connect) || is_connection_refused(error) {
        return log_client::LogError::NoEffect { reason };
    }
    log_client::LogError::MayHaveTakenEffect { reason }
}

/// Returns whether the server refused the connection. The HTTP library reports
/// this case as a failed request, not as a failure to connect.
fn is_connection_refused(error: &volo_http::error::ClientError) -> bool {
    let mut source = error::Error::source(error);
    while let Some(cause) = source {
        if let Some(cause) = cause.downcast_ref::<io::Error>()
            && cause.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = cause.source();
    }
    false
}

fn may_have_taken_effect<T>(reason: String) -> Result<T, log_client::LogError> {
    log_client::log_error::MayHaveTakenEffectSnafu { reason }.fail()
}
