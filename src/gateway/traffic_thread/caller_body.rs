//! Body of a caller's request.

use std::io;
use std::sync;

use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::caller_upload;
use crate::gateway::traffic_thread::held_memory;
use crate::gateway::traffic_thread::response;
use crate::http1;
use crate::verdict;

/// Body of a caller's request.
pub enum CallerBody {
    /// Body that is too large for buffering. It is streamed to one server and
    /// cannot be sent again; `None` after that.
    Streamed(Option<http1::RequestBody>),
    /// Complete body in memory.
    Buffered(bytes::Bytes),
}

impl CallerBody {
    /// Returns the body for one attempt. A streamed body is returned only once; there is
    /// `None` after that, and nothing may be sent in its place.
    pub fn attempt_body(&mut self) -> Option<http1::RequestBody> {
        match self {
            Self::Streamed(body) => body.take(),
            Self::Buffered(bytes) => Some(response::full_body(bytes.clone())),
        }
    }

    /// Returns whether the body can be sent, once more or for the first time.
    pub const fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_) | Self::Streamed(Some(_)))
    }

    /// Returns whether the body can be sent any number of times.
    pub const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// Reads a caller's body. A body within the limit for buffering is read
/// completely, a larger one is streamed.
///
/// # Errors
///
/// Returns a refusal if the body is larger than `max_body_bytes`, breaks off, is not
/// received by `deadline`, or if there is no memory for it. The request has not run in
/// these cases.
pub async fn read_body(
    shared: &gateway::Shared,
    head: &http::request::Parts,
    mut body: caller_upload::CallerUpload,
    max_body_bytes: u64,
    deadline: tokio::time::Instant,
    memory: &sync::Arc<held_memory::RequestMemory>,
) -> Result<CallerBody, verdict::Refusal> {
    let content_length = head.headers.get(http::header::CONTENT_LENGTH);
    let content_length: Option<u64> =
        content_length.and_then(|length| length.to_str().ok()?.parse().ok());
    if content_length.is_some_and(|length| length > max_body_bytes) {
        return Err(not_run(verdict::RefusalReason::BodyTooLarge));
    }
    let buffered_bytes = shared.config.buffered_body_limit_bytes as u64;
    if content_length.is_some_and(|length| length > buffered_bytes) {
        let body = body.map_err(io::Error::other).boxed_unsync();
        return Ok(CallerBody::Streamed(Some(body)));
    }
    let mut bytes = bytes::BytesMut::new();
    let mut counted_bytes = 0;
    let attach = |bytes: bytes::BytesMut, counted_bytes: usize| {
        memory.attach(bytes.freeze(), counted_bytes as u64)
    };
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(None) => return Ok(CallerBody::Buffered(attach(bytes, counted_bytes))),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(not_run(verdict::RefusalReason::RequestInvalid)),
            Err(_) => return Err(not_run(verdict::RefusalReason::CallerTooSlow)),
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        let grown_bytes = bytes.capacity().saturating_sub(counted_bytes);
        if !memory.try_take(grown_bytes as u64) {
            let retry_after_ms = gateway::retry_after_ms(0.0, shared.random_value());
            let reason = verdict::RefusalReason::MemoryLimit;
            return Err(verdict::Refusal::not_run(reason, retry_after_ms));
        }
        counted_bytes += grown_bytes;
        if bytes.len() as u64 > max_body_bytes {
            return Err(not_run(verdict::RefusalReason::BodyTooLarge));
        }
        if bytes.len() as u64 > buffered_bytes {
            let first = response::full_body(attach(bytes, counted_bytes));
            let limited = limited_body(first, body, max_body_bytes - buffered_bytes);
            return Ok(CallerBody::Streamed(Some(limited)));
        }
    }
}

/// Returns a body that streams the part read so far, `first`, followed by the
/// remaining frames. It fails if these exceed `limit_bytes`.
fn limited_body(
    first: http1::RequestBody,
    rest: caller_upload::CallerUpload,
    limit_bytes: u64,
) -> http1::RequestBody {
    let rest = rest.map_err(io::Error::other);
    let state = (Some(first), rest, limit_bytes);
    let frames = futures::stream::unfold(state, |(first, mut rest, remaining_bytes)| async move {
        if let Some(mut first) = first {
            let frame = first.frame().await?;
            return Some((frame, (None, rest, remaining_bytes)));
        }
        let frame = rest.frame().await?;
        let data = frame.as_ref().ok().and_then(|frame| frame.data_ref());
        let size_bytes = data.map_or(0, |data| data.len() as u64);
        if size_bytes > remaining_bytes {
            let error = io::Error::other("request body exceeds the configured limit");
            return Some((Err(error), (None, rest, 0)));
        }
        Some((frame, (None, rest, remaining_bytes - size_bytes)))
    });
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

const fn not_run(reason: verdict::RefusalReason) -> verdict::Refusal {
    verdict::Refusal::not_run(reason, 0)
}
