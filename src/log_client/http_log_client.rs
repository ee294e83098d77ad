//! Client of the log service over HTTP.

use std::net;

use futures::FutureExt as _;
use futures::future;

use crate::configs;
use crate::log_client;
use crate::log_client::http_client;

/// Client of the log service over HTTP.
pub struct HttpLogClient {
    address: net::SocketAddr,
    client: http_client::HttpClient,
}

#[derive(serde::Deserialize)]
struct VmList {
    vms: Vec<log_client::VmEntry>,
}

impl HttpLogClient {
    /// Creates a client of the log service at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if no HTTP client can be created from the settings.
    pub fn new(
        address: net::SocketAddr,
        config: configs::LogClientConfig,
    ) -> Result<Self, log_client::BuildError> {
        let client = http_client::HttpClient::new(config)?;
        Ok(Self { address, client })
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: String,
    ) -> Result<http_client::Response, log_client::LogError> {
        self.client.call(self.address, method, path, body).await
    }
}

fn may_have_taken_effect<T>(reason: String) -> Result<T, log_client::LogError> {
    log_client::log_error::MayHaveTakenEffectSnafu { reason }.fail()
}

fn no_effect<T>(reason: String) -> Result<T, log_client::LogError> {
    log_client::log_error::NoEffectSnafu { reason }.fail()
}

fn decode<T: serde::de::DeserializeOwned>(
    response: &http_client::Response,
) -> Result<T, log_client::LogError> {
    serde_json::from_slice(&response.body).or_else(|error| {
        let status = response.status;
        may_have_taken_effect(format!("status {status} with an invalid body: {error}"))
    })
}

impl log_client::LogClient for HttpLogClient {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: String,
    ) -> future::BoxFuture<'a, Result<log_client::Appended, log_client::LogError>> {
        async move {
            let path = format!("/streams/{stream}/records");
            let response = self.call(http::Method::POST, &path, body).await?;
            match response.status {
                http::StatusCode::CREATED => decode(&response),
                status if status.is_client_error() => no_effect(format!("status {status}")),
                http::StatusCode::SERVICE_UNAVAILABLE => no_effect("status 503".to_owned()),
                status => may_have_taken_effect(format!("status {status}")),
            }
        }
        .boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max_count: usize,
    ) -> future::BoxFuture<'a, Result<log_client::LogBatch, log_client::LogError>> {
        async move {
            let path = format!("/streams/{stream}/records?from={from}&max={max_count}");
            let response = self.call(http::Method::GET, &path, String::new()).await?;
            match response.status {
                http::StatusCode::OK | http::StatusCode::GONE => decode(&response),
                status => no_effect(format!("status {status}")),
            }
        }
        .boxed()
    }

    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<log_client::VmEntry>, log_client::LogError>> {
        async move {
            let response = self.call(http::Method::GET, "/vms", String::new()).await?;
            match response.status {
                http::StatusCode::OK => decode::<VmList>(&response).map(|list| list.vms),
                status => no_effect(format!("status {status}")),
            }
        }
        .boxed()
    }
}
