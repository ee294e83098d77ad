//! Answers to callers.

use std::io;

use http_body_util::BodyExt as _;

use crate::ports;
use crate::verdict;

/// The body of an answer.
pub type AnswerBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// An answer to a caller.
pub type Answer = http::Response<AnswerBody>;

/// Gives a body that is there as a whole.
#[must_use]
pub fn whole(body: impl Into<bytes::Bytes>) -> AnswerBody {
    http_body_util::Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Gives an answer of the gateway's own without a promise about the request.
#[must_use]
pub fn plain(status: http::StatusCode, text: &str) -> Answer {
    let mut answer = http::Response::new(whole(format!("{text}\n")));
    *answer.status_mut() = status;
    answer
}

/// Gives the final answer to a request that the gateway gave up on.
///
/// Statuses 429 and 503 promise that the request never ran; 502 and 504
/// promise nothing.
#[must_use]
pub fn refusal(
    refusal: &verdict::Refusal,
    request_id: &str,
    headers: &ports::HeaderNames,
) -> Answer {
    let is_not_run = refusal.verdict == verdict::RunVerdict::NotRun;
    let status = match refusal.reason {
        verdict::RefusalReason::NoRoute => http::StatusCode::NOT_FOUND,
        verdict::RefusalReason::RequestInvalid => http::StatusCode::BAD_REQUEST,
        verdict::RefusalReason::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        verdict::RefusalReason::CallerTooSlow => http::StatusCode::REQUEST_TIMEOUT,
        _ if is_not_run => http::StatusCode::SERVICE_UNAVAILABLE,
        verdict::RefusalReason::DeadlineExceeded => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::BAD_GATEWAY,
    };
    let text = format!("{} {}", refusal.verdict.as_str(), refusal.reason.as_str());
    let mut answer = plain(status, &text);
    let answer_headers = answer.headers_mut();
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        let retry_after_ms = refusal.retry_after_ms;
        let text = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            answer_headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    if let Ok(value) = http::HeaderValue::from_str(request_id) {
        answer_headers.insert(headers.request_id.clone(), value);
    }
    answer
}
