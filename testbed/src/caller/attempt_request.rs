//! Attempt to be sent.

use std::net;

use crate::caller;

/// Attempt to be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequest<'a> {
    /// Destination of the attempt.
    pub address: net::SocketAddr,
    /// Body of the request.
    pub content: &'a caller::RequestBody,
    /// Idempotency key and id of the request.
    pub identity: &'a caller::RequestIdentity,
    /// Settings with the method, the path and further headers.
    pub settings: &'a caller::Settings,
}
