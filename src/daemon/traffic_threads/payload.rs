//! What is sent as a request's body.

use http_body_util::BodyExt as _;
use volo_http::error;

use crate::daemon;

/// Largest body that is read whole before it is sent, so that it can be sent
/// again, in bytes. Larger ones stream through and are sent once.
pub const WHOLE_BODY_LIMIT_BYTES: u64 = 65_536;

/// What is sent as a request's body.
#[derive(Clone)]
pub enum Payload {
    /// Streams through.
    Stream(daemon::RequestBody),
    /// Held whole, so that it can be sent again.
    Whole(bytes::Bytes),
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
            return Ok(Self::Whole(bytes::Bytes::new()));
        }
        let small = content_length_bytes.is_some_and(|bytes| bytes <= WHOLE_BODY_LIMIT_BYTES);
        if !small {
            return Ok(Self::Stream(body));
        }
        let stopped = body.clone();
        match body.collect().await {
            Ok(whole) => Ok(Self::Whole(whole.to_bytes())),
            Err(_) => Err(stopped
                .stopped()
                .unwrap_or(daemon::RequestBodyError::Broken)),
        }
    }

    /// Gives whether another attempt can send the same body.
    #[must_use]
    pub fn can_be_sent_again(&self) -> bool {
        match self {
            Self::Stream(body) => !body.is_started(),
            Self::Whole(_) => true,
        }
    }

    /// Gives why the caller's body stopped, if the caller is to blame.
    #[must_use]
    pub fn stopped(&self) -> Option<daemon::RequestBodyError> {
        match self {
            Self::Stream(body) => body.stopped(),
            Self::Whole(_) => None,
        }
    }

    /// Gives the bytes that this VM holds in memory for it.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        match self {
            Self::Stream(_) => WHOLE_BODY_LIMIT_BYTES,
            Self::Whole(bytes) => u64::try_from(bytes.len()).unwrap_or(u64::MAX),
        }
    }

    /// Gives when the last piece of the body was read, if it streams.
    #[must_use]
    pub fn last_read(&self) -> Option<tokio::time::Instant> {
        match self {
            Self::Stream(body) => body.last_read(),
            Self::Whole(_) => None,
        }
    }

    /// Gives the body for one attempt.
    #[must_use]
    pub fn body(&self) -> http_body_util::combinators::BoxBody<bytes::Bytes, error::BoxError> {
        match self {
            Self::Stream(body) => http_body_util::combinators::BoxBody::new(body.clone()),
            Self::Whole(bytes) => {
                let whole = http_body_util::Full::new(bytes.clone());
                http_body_util::combinators::BoxBody::new(whole.map_err(|never| match never {}))
            }
        }
    }
}
