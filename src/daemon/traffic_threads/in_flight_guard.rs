//! Counter of requests in flight.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use volo_http::body;
use volo_http::error;
use volo_http::response;

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    count: sync::Arc<atomic::AtomicU64>,
}

/// Response body that holds the guard of its request.
struct GuardedBody {
    _guard: InFlightGuard,
    body: pin::Pin<Box<body::Body>>,
}

impl InFlightGuard {
    /// Counts a new request.
    #[must_use]
    pub fn start(count: &sync::Arc<atomic::AtomicU64>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            count: sync::Arc::clone(count),
        }
    }

    /// Moves the guard into the response body, so that the request is counted
    /// until the body has been sent or dropped.
    #[must_use]
    pub fn hold_until_sent(self, response: response::Response) -> response::Response {
        response.map(|body| {
            body::Body::from_body(GuardedBody {
                _guard: self,
                body: Box::pin(body),
            })
        })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl http_body::Body for GuardedBody {
    type Data = bytes::Bytes;
    type Error = error::BoxError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        http_body::Body::poll_frame(self.body.as_mut(), cx)
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&*self.body)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::Body::size_hint(&*self.body)
    }
}
