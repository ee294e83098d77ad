//! One request, ready to be run.

use std::sync;

use crate::bundle;
use crate::daemon;

/// One request, ready to be run.
#[derive(Clone)]
pub struct PreparedRequest {
    /// When the request must be answered.
    pub deadline: tokio::time::Instant,
    /// The same on the process's clock, in milliseconds.
    pub deadline_ms: u64,
    /// The service that runs it.
    pub definition: bundle::Service,
    /// Peer address of the service's dispatcher.
    pub dispatcher: Option<std::net::SocketAddr>,
    /// Hash of what the request asks for.
    pub fingerprint: u64,
    /// Head as the caller sent it.
    pub head: http::request::Parts,
    /// Whether running it twice does the same as running it once.
    pub idempotent: bool,
    /// Organisation of the caller.
    pub organisation: String,
    /// The request's id.
    pub request_id: String,
    /// The service on this entry VM.
    pub service: sync::Arc<daemon::ServiceRuntime>,
}

impl PreparedRequest {
    /// Gives the time that is left, in milliseconds.
    #[must_use]
    pub fn left_ms(&self) -> u64 {
        let left = self
            .deadline
            .saturating_duration_since(tokio::time::Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Gives the hash of what a request asks for: two requests under one key that
/// differ in it are different requests.
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
        // Keeps "ab" + "c" apart from "a" + "bc".
        hasher.update(&[0]);
    }
    if let daemon::Payload::Buffered(bytes) = payload {
        hasher.update(bytes);
    } else if let Some(length) = head.headers.get(http::header::CONTENT_LENGTH) {
        hasher.update(length.as_bytes());
    }
    hasher.digest()
}
