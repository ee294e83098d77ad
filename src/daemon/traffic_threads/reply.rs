//! Responses that the daemon creates itself.

use volo_http::body;
use volo_http::response;

use crate::daemon::traffic_threads::header_names;
use crate::verdict;

/// Creates the response to a refused request.
#[must_use]
pub fn refusal(refusal: &verdict::Refusal, request_id: &str) -> response::Response {
    let text = serde_json::json!({
        "reason": refusal.reason.as_str(),
        "request_id": request_id,
        "retry_after_ms": refusal.retry_after_ms,
        "verdict": refusal.verdict.as_str(),
    })
    .to_string();
    let mut response = json(status(refusal.reason), text);
    let headers = response.headers_mut();
    set_header(headers, header_names::REASON, refusal.reason.as_str());
    set_header(headers, header_names::REQUEST_ID, request_id);
    set_header(
        headers,
        header_names::RETRY_AFTER_MS,
        &refusal.retry_after_ms.to_string(),
    );
    // `Retry-After` is in whole seconds. It is rounded up so that no caller
    // retries too early.
    let retry_after_s = refusal.retry_after_ms.div_ceil(1_000);
    set_header(headers, "retry-after", &retry_after_s.to_string());
    set_header(headers, header_names::VERDICT, refusal.verdict.as_str());
    response
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json(status: http::StatusCode, text: String) -> response::Response {
    let mut response = response::Response::new(body::Body::from(text));
    *response.status_mut() = status;
    set_header(response.headers_mut(), "content-type", "application/json");
    response
}

/// Sets a header, or leaves it out if the value is not valid in a header.
pub fn set_header(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the HTTP status of a refusal.
const fn status(reason: verdict::RefusalReason) -> http::StatusCode {
    use verdict::RefusalReason as Reason;
    match reason {
        Reason::AnswerMismatched | Reason::AnswerTruncated | Reason::ConnectionLost => {
            http::StatusCode::BAD_GATEWAY
        }
        Reason::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        Reason::CallerTooSlow => http::StatusCode::REQUEST_TIMEOUT,
        Reason::DeadlineExceeded => http::StatusCode::GATEWAY_TIMEOUT,
        Reason::KeyClosed | Reason::KeyMayHaveRun | Reason::KeyReused => http::StatusCode::CONFLICT,
        Reason::KeyPrefixMissing => http::StatusCode::PRECONDITION_REQUIRED,
        Reason::KeyUnknown => http::StatusCode::UNAUTHORIZED,
        Reason::NoRoute => http::StatusCode::NOT_FOUND,
        Reason::OrganisationLimit => http::StatusCode::TOO_MANY_REQUESTS,
        Reason::Quarantined => http::StatusCode::UNPROCESSABLE_ENTITY,
        Reason::RequestInvalid => http::StatusCode::BAD_REQUEST,
        Reason::ClaimDenied
        | Reason::KeyMemoryFull
        | Reason::Leaving
        | Reason::NoConfiguration
        | Reason::NoServer
        | Reason::QueueFull
        | Reason::ServerLimit
        | Reason::ServerRest
        | Reason::ServerShed
        | Reason::ServersUnreachable
        | Reason::ServiceLimit => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}
