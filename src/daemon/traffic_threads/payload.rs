//! What is sent as a request's body.

use http_body_util::BodyExt as _;
use volo_http::error;

use crate::daemon;

/// Largest body that is read whole before it is sent, so that it can be sent
/// again, in bytes. Larger ones stream through and are sent once.
pub const BUFFERED_BODY_LIMIT_BYTES: u64 = 65_536;

/// What is sent as a request's body.
#[derive(Clone)]
pub enum Payload {
    /// Streams through.
    Stream(daemon::RequestBody),
    /// Held whole, so that it can be sent again.
    Buffered(bytes::Bytes),
}

impl Payload {
    /// Reads a small body whole; a large one, or one of unknown length, will
    /// stream.
    ///
    /// # Errors
    ///
    /// Gives why the caller's body stopped.
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

    /// Gives whether another attempt can send the same body.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        match self {
            Self::Stream(body) => !body.is_started(),
            Self::Buffered(_) => true,
        }
    }

    /// Gives why the caller's body stopped, if the caller is to blame.
    #[must_use]
    pub fn body_error(&self) -> Option<daemon::RequestBodyError> {
        match self {
            Self::Stream(body) => body.body_error(),
            Self::Buffered(_) => None,
        }
    }

    /// Gives the bytes that this VM holds in memory for it.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        match self {
            Self::Stream(_) => BUFFERED_BODY_LIMIT_BYTES,
            Self::Buffered(bytes) => u64::try_from(bytes.len()).unwrap_or(u64::MAX),
        }
    }

    /// Gives when the last piece of the body was read, if it streams.
    #[must_use]
    pub fn last_read(&self) -> Option<tokio::time::Instant> {
        match self {
            Self::Stream(body) => body.last_read(),
            Self::Buffered(_) => None,
        }
    }

    /// Gives the body for one attempt.
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
