//! Attempt to run a request on one backend server.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::body_read;
use crate::gateway::traffic_thread::caller_body;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::response_stream;
use crate::gateway::traffic_thread::routed_request;
use crate::gateway::traffic_thread::server_statement;
use crate::http1;
use crate::verdict;

/// Time for which an idle connection is kept, in milliseconds, if the server
/// sends no `Keep-Alive: timeout=`.
const DEFAULT_IDLE_MS: u64 = 3_000;

/// Time for which the rest of a refusal is read, so that its connection can be used
/// again.
const REFUSAL_DRAIN_TIME: time::Duration = time::Duration::from_millis(200);
/// Maximum size of a refusal that is read for the same purpose, in bytes.
const REFUSAL_DRAIN_LIMIT_BYTES: usize = 16_384;

/// Outcome of one attempt.
pub enum AttemptOutcome {
    /// The server responded. The body is complete, or streamed if it is large.
    Answered(response::Response),
    /// No response that can be passed to the caller.
    Failed(AttemptFailure),
}

/// Failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Stage at which the attempt ended.
    pub end: gateway::AttemptEnd,
    /// Whether the connection was lost while the server had the request, which
    /// counts as a crash of the server.
    pub has_server_died: bool,
    /// Reason that is reported to the caller if no further attempt is made.
    pub reason: verdict::RefusalReason,
}

impl AttemptFailure {
    const fn not_sent() -> Self {
        Self {
            end: gateway::AttemptEnd::NotSent,
            has_server_died: false,
            reason: verdict::RefusalReason::ServersUnreachable,
        }
    }

    const fn refused() -> Self {
        Self {
            end: gateway::AttemptEnd::Refused,
            has_server_died: false,
            reason: verdict::RefusalReason::ServerShed,
        }
    }

    /// Returns the failure of a request that may have run, without a usable response.
    pub const fn unanswered(reason: verdict::RefusalReason) -> Self {
        Self {
            end: gateway::AttemptEnd::Unanswered,
            has_server_died: matches!(reason, verdict::RefusalReason::ConnectionLost),
            reason,
        }
    }
}

/// Sends a request to the chosen server and reads its response.
///
/// The connection is reused only after a complete response to this request.
/// Otherwise it is closed, which makes the server stop its work on the request.
pub async fn run(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    body: &mut caller_body::CallerBody,
) -> AttemptOutcome {
    let Some((mut connection, is_new)) = connect(shared, routed, choice).await else {
        shared
            .backend_pool()
            .record_unreachable(shared.now_ms(), choice.incarnation);
        shared.record_server_miss(choice.incarnation);
        return AttemptOutcome::Failed(AttemptFailure::not_sent());
    };
    let Some(body) = body.attempt_body() else {
        return AttemptOutcome::Failed(AttemptFailure::not_sent());
    };
    let request = backend_request(shared, routed, choice, body);
    let sent_ms = shared.now_ms();
    shared.server_reach().record_sent(sent_ms);
    shared.record_arrival(routed.service);
    let exchange = connection.exchange(request);
    let head = match tokio::time::timeout_at(routed.deadline, exchange).await {
        Ok(Ok(head)) => head,
        Ok(Err(http1::ExchangeError::NotSent)) => {
            shared.take_back_arrival(routed.service);
            return AttemptOutcome::Failed(AttemptFailure::not_sent());
        }
        Ok(Err(http1::ExchangeError::ConnectionBroken { source })) => {
            if source.is_parse() {
                shared.record_server_response();
            }
            let reason = verdict::RefusalReason::ConnectionLost;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
        Err(_) => {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
    };
    shared.record_server_response();
    let is_refusal = is_refusal(shared, routed, &head, is_new);
    if (is_refusal && !is_misdirected(&head)) || has_matching_id(shared, routed, &head) {
        server_statement::record(shared, choice, sent_ms, &head);
    }
    if is_refusal {
        return handle_server_refusal(shared, choice, connection, head);
    }
    read_response(shared, routed, choice, connection, head).await
}

/// Returns whether a response states that the server did not run this request.
///
/// A server may send a further response late, on a connection that is in use again.
/// Such a refusal without an id may belong to an earlier request, so it is no proof
/// for this one.
fn is_refusal(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    head: &http::Response<http1::ResponseBody>,
    is_first_response: bool,
) -> bool {
    let is_not_run = head.headers().contains_key(&shared.headers.not_run) || is_misdirected(head);
    let has_id = head.headers().contains_key(&shared.headers.request_id);
    let is_own = has_matching_id(shared, routed, head) || (!has_id && is_first_response);
    is_not_run && is_own
}

/// Returns whether the server at this address is another one than expected.
fn is_misdirected(head: &http::Response<http1::ResponseBody>) -> bool {
    head.status() == http::StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether a response bears the id of this request.
pub fn has_matching_id(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    head: &http::Response<http1::ResponseBody>,
) -> bool {
    let echoed = head.headers().get(&shared.headers.request_id);
    echoed.is_some_and(|echoed| echoed.as_bytes() == routed.request_id.as_bytes())
}

/// Returns a connection to the server, and whether it is a new one.
async fn connect(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
) -> Option<(http1::ClientConnection, bool)> {
    if let Some(connection) = shared.connections.take(choice.incarnation) {
        return Some((connection, false));
    }
    let options = shared.socket_options(choice.is_same_region, routed.time_left());
    shared.metrics.counters.add("server.connect");
    match http1::ClientConnection::open(choice.backend.address, &options).await {
        Ok(connection) => Some((connection, true)),
        Err(error) => {
            shared.metrics.counters.add("server.connect-failed");
            shared.decision_log.record("server.connect-failed", || {
                format!(
                    "id={}{} server={} address={} in_flight={} error=\"{error}\"",
                    routed.request_id,
                    routed.organisation_fields(),
                    choice.backend.id,
                    choice.backend.address,
                    choice.in_flight
                )
            });
            None
        }
    }
}

/// Builds the request to the backend server: the caller's without its connection
/// headers, with the remaining time, the organisation and the id of the expected server.
fn backend_request(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    body: http1::RequestBody,
) -> http::Request<http1::RequestBody> {
    let mut request = forwarded_request(shared, routed, body);
    if let Ok(id) = http::HeaderValue::from_str(&choice.backend.id) {
        let expected_backend = shared.headers.expected_backend.clone();
        request.headers_mut().insert(expected_backend, id);
    }
    let organisation = routed.organisation.map(|organisation| &organisation.name);
    if let Some(Ok(name)) = organisation.map(|name| http::HeaderValue::from_str(name)) {
        let organisation = shared.headers.organisation.clone();
        request.headers_mut().insert(organisation, name);
    }
    request
}

/// Builds the caller's request without its connection headers, with the remaining time.
pub fn forwarded_request(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    body: http1::RequestBody,
) -> http::Request<http1::RequestBody> {
    let mut request = http::Request::new(body);
    *request.method_mut() = routed.head.method.clone();
    *request.uri_mut() = routed.head.uri.clone();
    *request.headers_mut() = routed.head.headers.clone();
    let headers = request.headers_mut();
    http1::remove_connection_headers(headers);
    let time_left_ms = http::HeaderValue::from(routed.time_left_ms().max(1));
    headers.insert(shared.headers.deadline_ms.clone(), time_left_ms);
    request
}

/// Checks that a response belongs to this request, and reads its body.
async fn read_response(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    connection: http1::ClientConnection,
    head: http::Response<http1::ResponseBody>,
) -> AttemptOutcome {
    let header_names = &shared.headers;
    let has_matching_id = has_matching_id(shared, routed, &head);
    let is_signed = head.headers().contains_key(&header_names.signature);
    if !has_matching_id || (head.status().is_success() && !is_signed) {
        let reason = verdict::RefusalReason::AnswerMismatched;
        return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
    }
    let idle_time = idle_time(shared, head.headers());
    let (mut parts, mut body) = head.into_parts();
    http1::remove_connection_headers(&mut parts.headers);
    let source = body_read::Source::Server;
    let read = body_read::read(shared, routed, source, parts.status, &mut body);
    let read = match tokio::time::timeout_at(routed.deadline, read).await {
        Ok(Ok(read)) => read,
        Ok(Err(_)) => {
            let reason = verdict::RefusalReason::AnswerTruncated;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
        Err(_) => {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
    };
    let body = if read.is_complete {
        if let Some(idle_time) = idle_time {
            shared
                .connections
                .put(choice.incarnation, connection, idle_time);
        }
        response::parts_body(read.parts)
    } else {
        // The remaining part of a large response is streamed. The connection
        // stays open as long as the body is in use and is not reused.
        let stream = response_stream::ResponseStream {
            choice: Some(choice.clone()),
            connection,
            deadline: routed.caller_deadline,
            first: read.parts.into(),
            memory: routed.memory.clone(),
            rest: body,
            shared: sync::Arc::clone(shared),
        };
        stream.into_body()
    };
    AttemptOutcome::Answered(http::Response::from_parts(parts, body))
}

/// Handles a response that the server did not run the request.
///
/// The request goes on at once. The rest of the response is read beside it, for a
/// short time, so that the connection can be used again: a faulty server may send a
/// refusal's body slowly or without end.
fn handle_server_refusal(
    shared: &sync::Arc<gateway::Shared>,
    choice: &gateway::Choice,
    connection: http1::ClientConnection,
    head: http::Response<http1::ResponseBody>,
) -> AttemptOutcome {
    let is_misdirected = is_misdirected(&head);
    let idle_time = idle_time(shared, head.headers()).filter(|_| !is_misdirected);
    if let Some(idle_time) = idle_time {
        let incarnation = choice.incarnation;
        let shared = sync::Arc::clone(shared);
        let mut body = head.into_body();
        tokio::spawn(async move {
            let drained = drain_body(&mut body, REFUSAL_DRAIN_LIMIT_BYTES);
            let drained = tokio::time::timeout(REFUSAL_DRAIN_TIME, drained).await;
            if let Ok(Ok(true)) = drained {
                shared.connections.put(incarnation, connection, idle_time);
            }
        });
    }
    let now_ms = shared.now_ms();
    if is_misdirected {
        // Another server now has the address: the registry entry is outdated.
        shared
            .backend_pool()
            .record_unreachable(now_ms, choice.incarnation);
    } else {
        shared
            .backend_pool()
            .record_shed(now_ms, choice.incarnation);
    }
    AttemptOutcome::Failed(AttemptFailure::refused())
}

/// Reads and drops a body. Returns whether it has ended within `limit_bytes`.
///
/// # Errors
///
/// Returns the error of the connection if the body breaks off.
async fn drain_body(
    body: &mut http1::ResponseBody,
    limit_bytes: usize,
) -> Result<bool, hyper::Error> {
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read_bytes += data.len();
        }
        if read_bytes > limit_bytes {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns how long the connection may be kept idle; `None` if it must be closed.
fn idle_time(shared: &gateway::Shared, headers: &http::HeaderMap) -> Option<time::Duration> {
    if http1::closes_connection(headers) {
        return None;
    }
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let advertised_s = keep_alive.and_then(|text| {
        let parameter = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        parameter?.trim().parse::<u64>().ok()
    });
    let config = &shared.config;
    let idle_ms = advertised_s.map_or(DEFAULT_IDLE_MS, |advertised_s| {
        advertised_s
            .saturating_mul(1_000)
            .saturating_sub(config.idle_connection_margin_ms)
    });
    let idle_ms = idle_ms.min(config.idle_connection_max_ms);
    (idle_ms > 0).then(|| time::Duration::from_millis(idle_ms))
}
