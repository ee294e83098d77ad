//! Body of a request as it is sent to backend servers.

use http_body_util::BodyExt as _;
use volo_http::error;

use crate::daemon;

/// Size of the largest body that is buffered so that it can be sent again, in
/// bytes. Larger bodies are streamed and can be sent only once.
pub const BUFFERED_BODY_LIMIT_BYTES: u64 = 65_536;

/// Body of a request as it is sent to backend servers.
#[derive(Clone)]
pub enum Payload {
    /// Streamed from the caller.
    Stream(daemon::RequestBody),
    /// Buffered in memory, so that it can be sent again.
    Buffered(bytes::Bytes),
}

impl Payload {
    /// Buffers a body of at most [`BUFFERED_BODY_LIMIT_BYTES`]. A larger body,
    /// or one of unknown length, is streamed.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the caller's body early.
    pub async fn read(
        body: daemon::RequestBody,
        content_length_bytes: Option<u64>,
    ) -> Result<Self, daemon::RequestBodyError> {
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Buffered(bytes::Bytes::new()));
        }
        let is_small = content_length_bytes.is_some_and(|bytes| bytes <= BUFFERED_BODY_LIMIT_BYTES);
        if !is_small {
            return Ok(Self::Stream(body));
        }
        let shared_body = body.clone();
        match body.collect().await {
            Ok(buffered) => Ok(Self::Buffered(buffered.to_bytes())),
            Err(_) => Err(shared_body
                .body_error()
                .unwrap_or(daemon::RequestBodyError::ConnectionLost)),
        }
    }

    /// Returns whether a further attempt can send the same body.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        match self {
            Self::Stream(body) => !body.is_started(),
            Self::Buffered(_) => true,
        }
    }

    /// Returns the error that ended a streamed body early, if there was one.
    #[must_use]
    pub fn body_error(&self) -> Option<daemon::RequestBodyError> {
        match self {
            Self::Stream(body) => body.body_error(),
            Self::Buffered(_) => None,
        }
    }

    /// Returns the memory that the body is counted with, in bytes. A streamed
    /// body is counted with the buffer limit.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        match self {
            Self::Stream(_) => BUFFERED_BODY_LIMIT_BYTES,
            Self::Buffered(bytes) => u64::try_from(bytes.len()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time at which the last frame of a streamed body was read, or
    /// `None` if the body is buffered or no frame was read.
    #[must_use]
    pub fn last_read(&self) -> Option<tokio::time::Instant> {
        match self {
            Self::Stream(body) => body.last_read(),
            Self::Buffered(_) => None,
        }
    }

    /// Returns the body for one attempt.
    #[must_use]
    pub fn body(&self) -> http_body_util::combinators::BoxBody<bytes::Bytes, error::BoxError> {
        match self {
            Self::Stream(body) => http_body_util::combinators::BoxBody::new(body.clone()),
            Self::Buffered(bytes) => {
                let buffered = http_body_util::Full::new(bytes.clone());
                http_body_util::combinators::BoxBody::new(buffered.map_err(|never| match never {}))
            }
        }
    }
}
