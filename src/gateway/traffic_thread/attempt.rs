//! One attempt of a request at one backend server.

use std::io;
use std::sync;
use std::time;

use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::answer;
use crate::gateway::traffic_thread::work;
use crate::http1;
use crate::verdict;

/// Time that an idle connection is kept when the server does not say how long
/// it keeps it, in milliseconds.
const UNSTATED_IDLE_MS: u64 = 3_000;
/// What one attempt gave.
pub enum AttemptOutcome {
    /// The server's whole answer, or the beginning of a large one.
    Answered(answer::Answer),
    /// No answer that can be given to the caller.
    Failed(AttemptFailure),
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// How it ended.
    pub end: gateway::AttemptEnd,
    /// Whether the server went away while it had the request.
    pub is_death: bool,
    /// Why.
    pub reason: verdict::RefusalReason,
}

impl AttemptFailure {
    const fn not_sent() -> Self {
        Self {
            end: gateway::AttemptEnd::NotSent,
            is_death: false,
            reason: verdict::RefusalReason::NoServer,
        }
    }

    const fn refused() -> Self {
        Self {
            end: gateway::AttemptEnd::Refused,
            is_death: false,
            reason: verdict::RefusalReason::ServerShed,
        }
    }

    const fn unanswered(reason: verdict::RefusalReason) -> Self {
        Self {
            end: gateway::AttemptEnd::Unanswered,
            is_death: matches!(reason, verdict::RefusalReason::ConnectionLost),
            reason,
        }
    }
}

/// Sends a request to the chosen server and gives what came of it.
///
/// The connection is used again only after a whole answer to this request;
/// otherwise it is closed, which stops the server's work on it.
pub async fn run(
    shared: &sync::Arc<gateway::Shared>,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    body: http1::RequestBody,
) -> AttemptOutcome {
    let Some(mut connection) = connect(shared, work, choice).await else {
        shared
            .board()
            .note_unreachable(shared.now_ms(), choice.lifetime);
        return AttemptOutcome::Failed(AttemptFailure::not_sent());
    };
    let request = onward_request(shared, work, choice, body);
    let sent = connection.exchange(request);
    let head = match tokio::time::timeout_at(work.limit, sent).await {
        Ok(Ok(head)) => head,
        Ok(Err(http1::ExchangeError::NotSent)) => {
            return AttemptOutcome::Failed(AttemptFailure::not_sent());
        }
        Ok(Err(http1::ExchangeError::ConnectionBroken { .. })) => {
            let reason = verdict::RefusalReason::ConnectionLost;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
        Err(_) => {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
        }
    };
    take_answer(shared, work, choice, connection, head).await
}

async fn connect(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
) -> Option<http1::ClientConnection> {
    if let Some(connection) = shared.connections.take(choice.lifetime) {
        return Some(connection);
    }
    let config = &shared.config;
    let timeout_ms = if choice.is_near {
        config.connect_timeout_near_ms
    } else {
        config.connect_timeout_far_ms
    };
    let options = http1::SocketOptions {
        connect_timeout: time::Duration::from_millis(timeout_ms).min(work.left()),
        keepalive: time::Duration::from_millis(config.keepalive_ms),
        unacknowledged_timeout: time::Duration::from_millis(config.unacknowledged_timeout_ms),
    };
    shared.metrics.counters.add("server.connect");
    match http1::ClientConnection::open(choice.backend.address, &options).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            shared.metrics.counters.add("server.connect-failed");
            shared.decision_log.record("server.connect-failed", || {
                format!(
                    "id={} server={} address={} in_flight={} error=\"{error}\"",
                    work.request_id, choice.backend.id, choice.backend.address, choice.in_flight
                )
            });
            None
        }
    }
}

fn onward_request(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    body: http1::RequestBody,
) -> http::Request<http1::RequestBody> {
    let mut request = http::Request::new(body);
    *request.method_mut() = work.head.method.clone();
    *request.uri_mut() = work.head.uri.clone();
    *request.headers_mut() = work.head.headers.clone();
    let headers = request.headers_mut();
    http1::remove_connection_headers(headers);
    let left_ms = http::HeaderValue::from(work.left_ms().max(1));
    headers.insert(shared.headers.deadline_ms.clone(), left_ms);
    if let Ok(id) = http::HeaderValue::from_str(&choice.backend.id) {
        headers.insert(shared.headers.expected_backend.clone(), id);
    }
    request
}

async fn take_answer(
    shared: &sync::Arc<gateway::Shared>,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    connection: http1::ClientConnection,
    head: http::Response<hyper::body::Incoming>,
) -> AttemptOutcome {
    let header_names = &shared.headers;
    let echoed = head.headers().get(&header_names.request_id);
    let is_own = echoed.is_some_and(|echoed| echoed.as_bytes() == work.request_id.as_bytes());
    let is_not_run = head.headers().contains_key(&header_names.not_run)
        || head.status() == http::StatusCode::MISDIRECTED_REQUEST;
    if is_not_run && (is_own || echoed.is_none()) {
        return refused(shared, work, choice, connection, head).await;
    }
    let is_signed = head.headers().contains_key(&header_names.signature);
    if !is_own || (head.status().is_success() && !is_signed) {
        let reason = verdict::RefusalReason::AnswerMismatched;
        return AttemptOutcome::Failed(AttemptFailure::unanswered(reason));
    }
    let idle_time = idle_time(shared, head.headers());
    let (mut parts, mut body) = head.into_parts();
    http1::remove_connection_headers(&mut parts.headers);
    let limit_bytes = shared.config.buffered_body_limit_bytes;
    let read = read_body(&mut body, limit_bytes);
    let read = match tokio::time::timeout_at(work.limit, read).await {
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
    let body = match read {
        ReadBody::Whole(bytes) => {
            if let Some(idle_time) = idle_time {
                shared
                    .connections
                    .put(choice.lifetime, connection, idle_time);
            }
            answer::whole(bytes)
        }
        // The rest of a large answer is passed on as it comes; the connection
        // lives as long as the body and is not used again.
        ReadBody::Begun(first) => streamed(first, body, connection),
    };
    AttemptOutcome::Answered(http::Response::from_parts(parts, body))
}

async fn refused(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    connection: http1::ClientConnection,
    head: http::Response<hyper::body::Incoming>,
) -> AttemptOutcome {
    let is_misdirected = head.status() == http::StatusCode::MISDIRECTED_REQUEST;
    let idle_time = idle_time(shared, head.headers()).filter(|_| !is_misdirected);
    let mut body = head.into_body();
    let limit_bytes = shared.config.buffered_body_limit_bytes;
    let read = tokio::time::timeout_at(work.limit, read_body(&mut body, limit_bytes)).await;
    if let (Ok(Ok(ReadBody::Whole(_))), Some(idle_time)) = (read, idle_time) {
        shared
            .connections
            .put(choice.lifetime, connection, idle_time);
    }
    let now_ms = shared.now_ms();
    if is_misdirected {
        // Another server has the address: the registry's entry is outdated.
        shared.board().note_unreachable(now_ms, choice.lifetime);
    } else {
        shared.board().note_shed(now_ms, choice.lifetime);
    }
    AttemptOutcome::Failed(AttemptFailure::refused())
}

enum ReadBody {
    Begun(bytes::Bytes),
    Whole(bytes::Bytes),
}

/// Reads a body until its end or until more than `limit_bytes` have come.
async fn read_body(
    body: &mut hyper::body::Incoming,
    limit_bytes: usize,
) -> Result<ReadBody, hyper::Error> {
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit_bytes {
            return Ok(ReadBody::Begun(bytes.freeze()));
        }
    }
    Ok(ReadBody::Whole(bytes.freeze()))
}

fn streamed(
    first: bytes::Bytes,
    rest: hyper::body::Incoming,
    connection: http1::ClientConnection,
) -> answer::AnswerBody {
    let state = (Some(first), rest, connection);
    let frames = futures::stream::unfold(state, |(first, mut rest, connection)| async move {
        if let Some(first) = first {
            let frame = Ok(http_body::Frame::data(first));
            return Some((frame, (None, rest, connection)));
        }
        let frame = rest.frame().await?.map_err(io::Error::other);
        Some((frame, (None, rest, connection)))
    });
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

/// Gives how long the connection may be kept idle; nothing to close it.
fn idle_time(shared: &gateway::Shared, headers: &http::HeaderMap) -> Option<time::Duration> {
    let connection = headers.get(http::header::CONNECTION);
    let connection = connection
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    if connection.to_ascii_lowercase().contains("close") {
        return None;
    }
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let stated_s = keep_alive.and_then(|text| {
        let parameter = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        parameter?.trim().parse::<u64>().ok()
    });
    let config = &shared.config;
    let idle_ms = stated_s.map_or(UNSTATED_IDLE_MS, |stated_s| {
        (stated_s * 1_000).saturating_sub(config.idle_connection_margin_ms)
    });
    let idle_ms = idle_ms.min(config.idle_connection_max_ms);
    (idle_ms > 0).then(|| time::Duration::from_millis(idle_ms))
}
