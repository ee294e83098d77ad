//! Servers on free ports, and requests to them.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{net, sync, time};

use foxtailwinch::context;
use testbed::{backend, http_io, platform};
use volo_http::{body, client, request, response};

/// Response to a request, with its complete body.
pub struct Reply {
    /// Complete body; `None` if it was truncated.
    pub body: Option<String>,
    /// Headers of the response.
    pub headers: http::HeaderMap,
    /// Status of the response.
    pub status: u16,
}

impl Reply {
    /// Returns the text of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        http_io::header(&self.headers, name).unwrap_or_default()
    }
}

/// Serves `handler` on a free port.
pub fn start<H, F>(handler: H) -> net::SocketAddr
where
    H: Fn(request::Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = response::Response> + Send + 'static,
{
    let listener = http_io::bind(net::SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(http_io::serve(listener, handler));
    address
}

/// Starts a backend server.
pub fn start_backend(settings: backend::Settings) -> net::SocketAddr {
    let clock = sync::Arc::new(context::SystemClock::new());
    let server = backend::BackendServer::new(clock, settings).expect("no run log to open");
    let service = backend::BackendService::new(sync::Arc::new(server));
    start(move |request| service.clone().handle(request))
}

/// Starts a platform whose clock only advances on request.
pub fn start_platform(
    retention_ms: u64,
    vm_list_lag_ms: u64,
) -> (net::SocketAddr, sync::Arc<context::ManualClock>) {
    let clock = sync::Arc::new(context::ManualClock::default());
    let service = platform::PlatformService::new(clock.clone(), retention_ms, vm_list_lag_ms);
    let address = start(move |request| service.clone().handle(request));
    (address, clock)
}

/// Sends one request on a new connection. Returns `None` if no response
/// arrives.
pub async fn try_send(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<Reply> {
    let client = client::ClientBuilder::new().build().expect("a client");
    let method = method.parse().expect("a method");
    let mut builder = client.request(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let sent = builder.body(body::Body::from(body.to_owned())).send().await;
    let (parts, content) = sent.ok()?.into_parts();
    let content = http_io::read_body(content, 1_048_576).await;
    Some(Reply {
        body: content.map(|content| String::from_utf8_lossy(&content).into_owned()),
        headers: parts.headers,
        status: parts.status.as_u16(),
    })
}

/// Sends one request and expects a response.
pub async fn send(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Reply {
    try_send(method, address, path, headers, body)
        .await
        .expect("a response")
}

/// Sets the gray mode of a backend server.
pub async fn set_mode(address: net::SocketAddr, mode: &str) {
    let reply = send("POST", address, "/control/mode", &[], mode).await;
    assert_eq!(reply.status, 200, "{mode}");
}

/// Returns the run log of a backend server.
pub async fn runs(address: net::SocketAddr) -> Vec<backend::RunRecord> {
    let reply = send("GET", address, "/control/runs", &[], "").await;
    serde_json::from_str(&reply.body.expect("a complete body")).expect("a run log")
}

/// Waits until the first run on a server has the outcome `outcome`.
pub async fn wait_for_run(address: net::SocketAddr, outcome: backend::RunOutcome) {
    while runs(address).await.first().map(|run| run.finished) != Some(outcome) {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}
