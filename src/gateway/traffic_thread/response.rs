//! Responses to callers.

use std::io;

use http_body_util::BodyExt as _;

use crate::ports;
use crate::verdict;

/// Body of a response to a caller.
pub type ResponseBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// Response to a caller.
pub type Response = http::Response<ResponseBody>;

/// Returns a body that is completely in memory.
#[must_use]
pub fn full_body(body: impl Into<bytes::Bytes>) -> ResponseBody {
    http_body_util::Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a plain-text response of the gateway itself, without a verdict on
/// whether a request ran.
#[must_use]
pub fn plain_text(status: http::StatusCode, text: &str) -> Response {
    let mut response = http::Response::new(full_body(format!("{text}\n")));
    *response.status_mut() = status;
    response
}

/// Returns the final response to a request that the gateway refuses.
///
/// Statuses 429 and 503 guarantee that the request did not run; 502 and 504
/// guarantee nothing.
#[must_use]
pub fn refusal(
    refusal: &verdict::Refusal,
    request_id: &str,
    headers: &ports::HeaderNames,
) -> Response {
    let is_not_run = refusal.verdict == verdict::RunVerdict::NotRun;
    let status = match refusal.reason {
        verdict::RefusalReason::KeyUnknown if is_not_run => http::StatusCode::UNAUTHORIZED,
        verdict::RefusalReason::NoRoute => http::StatusCode::NOT_FOUND,
        verdict::RefusalReason::RequestInvalid => http::StatusCode::BAD_REQUEST,
        verdict::RefusalReason::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        verdict::RefusalReason::CallerTooSlow => http::StatusCode::REQUEST_TIMEOUT,
        _ if is_not_run => http::StatusCode::SERVICE_UNAVAILABLE,
        verdict::RefusalReason::DeadlineExceeded => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::BAD_GATEWAY,
    };
    let text = format!("{} {}", refusal.verdict.as_str(), refusal.reason.as_str());
    let mut response = plain_text(status, &text);
    let response_headers = response.headers_mut();
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        let retry_after_ms = refusal.retry_after_ms;
        let text = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            response_headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    if let Ok(value) = http::HeaderValue::from_str(request_id) {
        response_headers.insert(headers.request_id.clone(), value);
    }
    response
}
