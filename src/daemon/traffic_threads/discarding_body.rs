//! Draining of request bodies after a refusal.

use std::pin;
use std::task;
use std::time;

use http_body_util::BodyExt as _;
use volo_http::body;
use volo_http::error;

/// Maximum time spent on reading and discarding a request body.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum number of body bytes that are read and discarded.
const DISCARD_LIMIT_BYTES: usize = 32 * 1_024 * 1_024;

/// Request body that is read to its end in the background if it is dropped
/// early.
///
/// Closing a connection while the caller is still sending resets it, and the
/// reset can overtake the refusal. The caller would then see a lost connection
/// instead of the verdict that its request did not run.
pub struct DiscardingBody {
    body: Option<body::Body>,
}

impl DiscardingBody {
    /// Wraps the body of a request. A body without data is returned unchanged.
    #[must_use]
    pub fn wrap(body: body::Body) -> body::Body {
        if http_body::Body::is_end_stream(&body) {
            return body;
        }
        body::Body::from_body(Self { body: Some(body) })
    }
}

impl http_body::Body for DiscardingBody {
    type Data = bytes::Bytes;
    type Error = error::BoxError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        let Some(body) = &mut self.body else {
            return task::Poll::Ready(None);
        };
        let polled = http_body::Body::poll_frame(pin::Pin::new(body), cx);
        if matches!(polled, task::Poll::Ready(None | Some(Err(_)))) {
            self.body = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body
            .as_ref()
            .is_none_or(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body
            .as_ref()
            .map_or_else(http_body::SizeHint::default, http_body::Body::size_hint)
    }
}

impl Drop for DiscardingBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        let runtime = tokio::runtime::Handle::try_current();
        if let Ok(runtime) = runtime
            && !http_body::Body::is_end_stream(&body)
        {
            runtime.spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

async fn discard(mut body: body::Body) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
        if discarded_bytes > DISCARD_LIMIT_BYTES {
            return;
        }
    }
}
