//! HTTP interface of a stand-in backend server.

use std::{process, sync, time};

use bytes::Bytes;
use http::StatusCode;
use volo_http::{body, request, response};

use crate::{backend, http_io};

/// Largest body of a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 65_536;

/// Handles the HTTP requests of a stand-in backend server.
#[derive(Clone)]
pub struct BackendService {
    server: sync::Arc<backend::BackendServer>,
}

impl BackendService {
    /// Creates the HTTP interface of `server`.
    #[must_use]
    pub const fn new(server: sync::Arc<backend::BackendServer>) -> Self {
        Self { server }
    }

    /// Handles one request.
    pub async fn handle(self, request: request::Request) -> response::Response {
        let (parts, content) = request.into_parts();
        match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/health") => self.health().await,
            ("POST", "/control/drain") => {
                self.server.drain();
                http_io::plain(StatusCode::OK, "draining")
            }
            ("POST", "/control/mode") => self.set_mode(content).await,
            ("GET", "/control/runs") => http_io::json(StatusCode::OK, &self.server.runs()),
            ("GET", "/load") => self.load().await,
            _ => self.run(&parts.headers, content).await,
        }
    }

    async fn health(&self) -> response::Response {
        self.wait_probe_delay().await;
        if self.server.settings().honest_health && !self.server.is_healthy() {
            return http_io::plain(StatusCode::SERVICE_UNAVAILABLE, "unhealthy");
        }
        http_io::plain(StatusCode::OK, "healthy")
    }

    async fn load(&self) -> response::Response {
        if self.server.gray_mode() == backend::GrayMode::HalfAlive {
            return futures::future::pending().await;
        }
        self.wait_probe_delay().await;
        let load = backend::LoadResponse {
            draining: self.server.is_draining(),
            in_flight: self.server.reported_in_flight(),
            slots: self.server.slots().slot_count(),
        };
        http_io::json(StatusCode::OK, &load)
    }

    async fn set_mode(&self, content: body::Body) -> response::Response {
        let body = http_io::read_body(content, MAX_CONTROL_BYTES)
            .await
            .unwrap_or_default();
        match backend::GrayMode::parse(&body) {
            Ok(gray_mode) => {
                self.server.set_gray_mode(gray_mode);
                http_io::json(StatusCode::OK, &gray_mode)
            }
            Err(error) => http_io::plain(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    async fn run(&self, headers: &http::HeaderMap, content: body::Body) -> response::Response {
        let head = backend::RequestHead::from_headers(headers);
        let Some(received) = backend::ReceivedBody::receive(content).await else {
            return self.refuse("body truncated", &head.request_id);
        };
        if self.server.gray_mode() == backend::GrayMode::HalfAlive {
            return futures::future::pending().await;
        }
        if self.server.is_draining() {
            return self.refuse("draining", &head.request_id);
        }
        let arrived = time::Instant::now();
        let Some(_slot) = sync::Arc::clone(self.server.slots()).acquire().await else {
            return self.refuse("slots full", &head.request_id);
        };
        let work = self.server.sample_work(&head);
        if let Some(deadline_ms) = head.deadline_ms
            && arrived.elapsed() + work > time::Duration::from_millis(deadline_ms)
        {
            return self.refuse("deadline too near", &head.request_id);
        }
        self.run_in_slot(&head, received, work).await
    }

    async fn run_in_slot(
        &self,
        head: &backend::RequestHead,
        received: backend::ReceivedBody,
        work: time::Duration,
    ) -> response::Response {
        let mut run = self.server.start_run(head, &received.sha256);
        if head.crash && self.server.gray_mode() == backend::GrayMode::CrashOnMarked {
            run.finish(backend::RunOutcome::Crashed);
            process::exit(1);
        }
        http_io::pause(work).await;
        let response = backend::ResponseBody {
            body_bytes: received.size_bytes,
            body_sha256: received.sha256,
            request_id: head.request_id.clone(),
            run_count: run.run_count(),
            server: self.server.settings().name.clone(),
        };
        self.respond(&mut run, &response).await
    }

    async fn respond(
        &self,
        run: &mut backend::RunGuard,
        response: &backend::ResponseBody,
    ) -> response::Response {
        let other = self.server.replace_last_response(response);
        let gray_mode = self.server.gray_mode();
        match gray_mode {
            backend::GrayMode::Failing { percent } if self.server.random_bool(percent) => {
                run.finish(backend::RunOutcome::Failed);
                self.add_server_headers(
                    http_io::plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
                    &response.request_id,
                )
            }
            backend::GrayMode::HalfAlive | backend::GrayMode::OneWay => {
                run.finish(backend::RunOutcome::Lost);
                futures::future::pending().await
            }
            backend::GrayMode::Truncated { percent } if self.server.random_bool(percent) => {
                run.finish(backend::RunOutcome::Truncated);
                let complete = serde_json::to_vec(response).unwrap_or_default();
                let half = Bytes::copy_from_slice(&complete[..complete.len() / 2]);
                self.add_server_headers(http_io::aborted(half), &response.request_id)
            }
            backend::GrayMode::Wrong { percent } if self.server.random_bool(percent) => {
                run.finish(backend::RunOutcome::Wrong);
                self.add_server_headers(http_io::json(StatusCode::OK, &other), &other.request_id)
            }
            _ => {
                run.finish(backend::RunOutcome::Answered);
                self.add_server_headers(
                    http_io::json(StatusCode::OK, response),
                    &response.request_id,
                )
            }
        }
    }

    fn add_server_headers(
        &self,
        mut response: response::Response,
        request_id: &str,
    ) -> response::Response {
        let slot_count = self.server.slots().slot_count();
        let load = format!("{}/{slot_count}", self.server.reported_in_flight());
        set_header(&mut response, "x-load", &load);
        set_header(&mut response, "x-request-id", request_id);
        if self.server.is_draining() {
            set_header(&mut response, "x-draining", "true");
        }
        response
    }

    /// Refuses a request without running it. The response carries the request's
    /// id, because entry VMs disregard a refusal that may belong to another
    /// request.
    fn refuse(&self, reason: &str, request_id: &str) -> response::Response {
        let mut response = http_io::plain(StatusCode::SERVICE_UNAVAILABLE, reason);
        set_header(&mut response, "x-not-run", "true");
        set_header(&mut response, "x-request-id", request_id);
        if self.server.is_draining() {
            set_header(&mut response, "x-draining", "true");
        }
        response
    }

    async fn wait_probe_delay(&self) {
        let probe = time::Duration::from_millis(self.server.settings().probe_ms);
        http_io::pause(probe).await;
    }
}

fn set_header(response: &mut response::Response, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
