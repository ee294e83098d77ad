//! Body of a caller's request as it arrives on the connection.

use std::pin;
use std::sync;
use std::task;

use crate::gateway::traffic_thread::caller_stream;

/// Body of a caller's request as it arrives on the connection.
///
/// Records with the connection if it is dropped before its end, so that the rest of it is
/// discarded when the connection is closed.
pub struct CallerUpload {
    body: hyper::body::Incoming,
    has_ended: bool,
    observer: sync::Arc<caller_stream::CallerObserver>,
}

impl CallerUpload {
    /// Returns the body of a request on the observed connection.
    #[must_use]
    pub const fn new(
        body: hyper::body::Incoming,
        observer: sync::Arc<caller_stream::CallerObserver>,
    ) -> Self {
        Self {
            body,
            has_ended: false,
            observer,
        }
    }
}

impl http_body::Body for CallerUpload {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        self.has_ended |= frame.is_none();
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallerUpload {
    fn drop(&mut self) {
        let is_complete = self.has_ended || http_body::Body::is_end_stream(&self.body);
        if !is_complete {
            self.observer.leave_upload_unread();
        }
    }
}
