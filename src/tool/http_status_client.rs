//! Client of the VMs' operator ports over HTTP.

use std::net;

use futures::FutureExt as _;
use futures::future;

use crate::log_client;
use crate::tool;

/// Reads the status of VMs over HTTP.
pub struct HttpStatusClient {
    client: log_client::HttpClient,
}

impl HttpStatusClient {
    /// Creates a status client that sends its requests through `client`.
    #[must_use]
    pub const fn new(client: log_client::HttpClient) -> Self {
        Self { client }
    }
}

impl tool::StatusClient for HttpStatusClient {
    fn status(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<tool::VmStatus, String>> {
        async move {
            let call = self
                .client
                .call(address, http::Method::GET, "/status", String::new());
            let response = call.await.map_err(|error| error.to_string())?;
            if response.status != http::StatusCode::OK {
                return Err(format!("HTTP status {}", response.status));
            }
            serde_json::from_slice(&response.body).map_err(|error| error.to_string())
        }
        .boxed()
    }
}
