//! Body of a response as it arrives on a connection to a server.

use std::pin;
use std::sync;
use std::task;

use crate::http1;

/// Body of a response as it arrives on a connection to a server. Each part of it renews the
/// limit on what is read.
pub struct ResponseBody {
    body: hyper::body::Incoming,
    read_limit: sync::Arc<http1::ReadLimit>,
}

impl ResponseBody {
    /// Returns the body of a response on a connection with this limit.
    #[must_use]
    pub const fn new(body: hyper::body::Incoming, read_limit: sync::Arc<http1::ReadLimit>) -> Self {
        Self { body, read_limit }
    }
}

impl http_body::Body for ResponseBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        self.read_limit.renew();
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
