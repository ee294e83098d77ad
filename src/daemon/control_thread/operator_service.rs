//! Operator port: read-only status and counters.

use std::convert;
use std::sync;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use volo_http::context::ServerContext;
use volo_http::request;
use volo_http::response;

use crate::daemon;
use crate::daemon::traffic_threads::reply;
use crate::telemetry;

/// HTTP service of the operator port.
#[derive(Clone)]
pub struct OperatorService {
    /// Sender of events to the control thread.
    pub control: mpsc::Sender<daemon::ControlEvent>,
    /// Counters of the process.
    pub counters: sync::Arc<telemetry::Counters>,
}

impl OperatorService {
    async fn status(&self) -> Option<daemon::VmStatus> {
        let (sender, receiver) = oneshot::channel();
        let event = daemon::ControlEvent::StatusRequested(sender);
        self.control.send(event).await.ok()?;
        let mut status = receiver.await.ok()?;
        status.counters = self.counters.snapshot();
        Some(status)
    }

    async fn respond(&self, request: &request::Request) -> response::Response {
        match request.uri().path() {
            "/counters" => json_ok(&self.counters.snapshot()),
            "/status" => match self.status().await {
                Some(status) => json_ok(&status),
                None => json_error(
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "the daemon is shutting down",
                ),
            },
            _ => json_error(
                http::StatusCode::NOT_FOUND,
                "unknown path; this port serves /status and /counters",
            ),
        }
    }
}

impl motore::Service<ServerContext, request::Request> for OperatorService {
    type Response = response::Response;
    type Error = convert::Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: request::Request,
    ) -> Result<Self::Response, Self::Error> {
        Ok(self.respond(&request).await)
    }
}

fn json_ok<T: serde::Serialize>(value: &T) -> response::Response {
    let text = serde_json::to_string(value).unwrap_or_default();
    reply::json(http::StatusCode::OK, text)
}

fn json_error(status: http::StatusCode, message: &str) -> response::Response {
    let text = serde_json::json!({ "error": message }).to_string();
    reply::json(status, text)
}
