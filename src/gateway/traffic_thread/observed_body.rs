//! Body of a response whose end is observed.

use std::io;
use std::pin;
use std::sync;
use std::task;

use crate::gateway::traffic_thread::caller_stream;
use crate::gateway::traffic_thread::response;

/// Body of a response. The HTTP library drops it when it has taken all of it.
pub struct ObservedBody {
    body: response::ResponseBody,
    observer: sync::Arc<caller_stream::CallerObserver>,
}

impl ObservedBody {
    /// Returns `body`, whose end is recorded with the observer.
    #[must_use]
    pub const fn new(
        body: response::ResponseBody,
        observer: sync::Arc<caller_stream::CallerObserver>,
    ) -> Self {
        Self { body, observer }
    }
}

impl http_body::Body for ObservedBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, io::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        self.observer.complete_response();
    }
}
