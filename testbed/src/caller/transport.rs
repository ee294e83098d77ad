//! Transport of attempts over HTTP.

use std::{error::Error as _, io, net, time};

use foxtailwinch::verdict;
use snafu::ResultExt as _;
use volo_http::{client, response};

use crate::{caller, http_io};

/// Largest response read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16_777_216;

/// Delay before a retry after a refusal without a retry time, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 50;

/// Time limit of a query for entry points.
const ENTRY_POINT_QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time that the caller waits beyond the deadline, so that a refusal sent by
/// the fleet at the deadline still arrives.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(250);

/// Client that sends attempts over HTTP.
#[derive(Clone)]
pub struct Transport {
    client: client::Client,
}

impl Transport {
    /// Creates a transport without open connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new() -> Result<Self, caller::CallerError> {
        let client = client::ClientBuilder::new()
            .build()
            .context(caller::caller_error::ClientSnafu)?;
        Ok(Self { client })
    }

    /// Queries an entry VM for entry points. Returns `None` if no valid
    /// response arrives in time.
    pub async fn query_entry_points(
        &self,
        entry: net::SocketAddr,
    ) -> Option<caller::EntryPointResponse> {
        let request = self
            .client
            .get(format!("http://{entry}/.foxtailwinch/entry-points"))
            .send();
        let response = tokio::time::timeout(ENTRY_POINT_QUERY_TIMEOUT, request)
            .await
            .ok()?
            .ok()?;
        let body = http_io::read_body(response.into_body(), MAX_RESPONSE_BYTES).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends one attempt and checks its response.
    pub async fn send(&self, request: caller::AttemptRequest<'_>) -> caller::AttemptResult {
        let deadline = time::Duration::from_millis(request.settings.deadline_ms) + RESPONSE_GRACE;
        tokio::time::timeout(deadline, self.send_without_timeout(request))
            .await
            .unwrap_or(caller::AttemptResult::without_response(
                caller::AttemptOutcome::TimedOut,
            ))
    }

    async fn send_without_timeout(
        &self,
        request: caller::AttemptRequest<'_>,
    ) -> caller::AttemptResult {
        let settings = request.settings;
        let uri = format!("http://{}{}", request.address, settings.path);
        let mut builder = self.client.request(settings.method.clone(), uri);
        builder.headers_mut().extend(request_headers(request));
        let sent = builder.body(request.content.content()).send().await;
        match sent {
            Ok(response) => read_response(request, response).await,
            Err(error) => caller::AttemptResult::without_response(connection_error_outcome(&error)),
        }
    }
}

/// Classifies an error of the HTTP client as a refused or a lost connection.
/// The client wraps an error of the operating system only if no connection was
/// established.
fn connection_error_outcome(error: &volo_http::error::ClientError) -> caller::AttemptOutcome {
    let refused = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| source.kind() == io::ErrorKind::ConnectionRefused);
    if refused {
        caller::AttemptOutcome::Unreachable
    } else {
        caller::AttemptOutcome::Broken
    }
}

fn request_headers(request: caller::AttemptRequest<'_>) -> http::HeaderMap {
    let settings = request.settings;
    let size_bytes = request.content.size_bytes();
    let mut texts = vec![
        ("x-deadline-ms", settings.deadline_ms.to_string()),
        ("x-organisation", settings.organisation.clone()),
        ("x-request-id", request.identity.request_id.clone()),
    ];
    if let Some(key) = &request.identity.idempotency_key {
        texts.push(("idempotency-key", key.clone()));
    }
    if size_bytes > 0 {
        texts.push(("content-length", size_bytes.to_string()));
    }
    let standard = texts.into_iter().filter_map(|(name, text)| {
        let value = http::HeaderValue::try_from(text).ok()?;
        Some((http::HeaderName::from_static(name), value))
    });
    standard.chain(settings.headers.iter().cloned()).collect()
}

async fn read_response(
    request: caller::AttemptRequest<'_>,
    response: response::Response,
) -> caller::AttemptResult {
    let (parts, content) = response.into_parts();
    let Some(content) = http_io::read_body(content, MAX_RESPONSE_BYTES).await else {
        return caller::AttemptResult::without_response(caller::AttemptOutcome::Broken);
    };
    if let Some(outcome) = parse_refusal(&parts.headers) {
        return caller::AttemptResult::without_response(outcome);
    }
    if !parts.status.is_success() {
        return caller::AttemptResult::without_response(caller::AttemptOutcome::Failed {
            status: parts.status.as_u16(),
        });
    }
    let echoed = http_io::header(&parts.headers, "x-request-id");
    let request_id = &request.identity.request_id;
    match caller::check_response(request_id, request.content, echoed, &content) {
        Ok(response) => caller::AttemptResult {
            response: Some(response),
            outcome: caller::AttemptOutcome::Answered,
        },
        Err(fault) => caller::AttemptResult {
            response: serde_json::from_slice(&content).ok(),
            outcome: caller::AttemptOutcome::Wrong(fault),
        },
    }
}

fn parse_refusal(headers: &http::HeaderMap) -> Option<caller::AttemptOutcome> {
    let retry_after_ms = http_io::header_u64(headers, "x-foxtailwinch-retry-after-ms")
        .unwrap_or(DEFAULT_RETRY_AFTER_MS);
    if let Some(verdict) = http_io::header(headers, "x-foxtailwinch-verdict") {
        let reason = http_io::header(headers, "x-foxtailwinch-reason").unwrap_or("none");
        return Some(caller::AttemptOutcome::Refused {
            reason: reason.to_owned(),
            retry_after_ms,
            verdict: parse_verdict(verdict),
        });
    }
    (http_io::header(headers, "x-not-run") == Some("true")).then(|| {
        caller::AttemptOutcome::Refused {
            reason: "server-refused".to_owned(),
            retry_after_ms,
            verdict: verdict::RunVerdict::NotRun,
        }
    })
}

/// Parses a verdict. Any text except `not-run` counts as "may have run",
/// because a resend after that verdict never runs an order twice.
fn parse_verdict(text: &str) -> verdict::RunVerdict {
    if text == verdict::RunVerdict::NotRun.as_str() {
        verdict::RunVerdict::NotRun
    } else {
        verdict::RunVerdict::MayHaveRun
    }
}
