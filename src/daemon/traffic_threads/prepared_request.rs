//! Request that is ready to run.

use std::sync;

use crate::bundle;
use crate::daemon;

/// Request that is ready to run.
#[derive(Clone)]
pub struct PreparedRequest {
    /// Time by which the response is due.
    pub deadline: tokio::time::Instant,
    /// The same time on this process's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Definition of the service that runs the request.
    pub definition: bundle::Service,
    /// Peer address of the service's dispatcher; `None` if no dispatcher is
    /// known.
    pub dispatcher: Option<std::net::SocketAddr>,
    /// Hash that identifies requests with the same content.
    pub fingerprint: u64,
    /// Head as sent by the caller.
    pub head: http::request::Parts,
    /// Whether running the request twice has the same effect as running it
    /// once.
    pub idempotent: bool,
    /// Organisation of the caller.
    pub organisation: String,
    /// Id of the request.
    pub request_id: String,
    /// State of the service on this entry VM.
    pub service: sync::Arc<daemon::ServiceRuntime>,
}

impl PreparedRequest {
    /// Returns the time left until the deadline, in milliseconds.
    #[must_use]
    pub fn time_left_ms(&self) -> u64 {
        let left = self
            .deadline
            .saturating_duration_since(tokio::time::Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the hash of the request's method, path, organisation and body. Of a
/// streamed body only the stated length is hashed. Two requests with the same
/// idempotency key but different fingerprints are different requests.
#[must_use]
pub fn fingerprint(
    head: &http::request::Parts,
    organisation: &str,
    payload: &daemon::Payload,
) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    for part in [head.method.as_str(), path, organisation] {
        hasher.update(part.as_bytes());
        // Separates the parts, so that "ab" + "c" and "a" + "bc" differ.
        hasher.update(&[0]);
    }
    if let daemon::Payload::Buffered(bytes) = payload {
        hasher.update(bytes);
    } else if let Some(length) = head.headers.get(http::header::CONTENT_LENGTH) {
        hasher.update(length.as_bytes());
    }
    hasher.digest()
}
