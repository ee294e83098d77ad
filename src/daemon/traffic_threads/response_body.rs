//! The body of an answer on its way to the caller.

use std::pin;
use std::task;

use volo_http::body;
use volo_http::error;

/// How the transfer of an answer's body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseEnd {
    /// The caller went away first.
    Cancelled,
    /// The whole body went to the caller.
    Complete,
    /// The deadline passed first.
    TimedOut,
    /// The server's connection broke first.
    Truncated,
}

/// An answer's body, passed on piece by piece as the caller takes it.
///
/// A body that breaks off ends in an error, so that the caller's connection is
/// cut and the caller sees that the answer is not whole.
pub struct ResponseBody {
    body: pin::Pin<Box<body::Body>>,
    deadline: pin::Pin<Box<tokio::time::Sleep>>,
    on_end: Option<Box<dyn FnOnce(ResponseEnd) + Send + Sync>>,
}

/// Why an answer's body broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ResponseBodyError {
    /// The deadline passed.
    #[snafu(display("the deadline passed in the middle of the answer"))]
    TimedOut,
    /// The server's connection broke.
    #[snafu(display("the answer broke off"))]
    Truncated,
}

impl ResponseBody {
    /// Wraps `body`; calls `on_end` once, when the transfer has ended.
    pub fn new(
        body: body::Body,
        deadline: tokio::time::Instant,
        on_end: impl FnOnce(ResponseEnd) + Send + Sync + 'static,
    ) -> Self {
        let mut response = Self {
            body: Box::pin(body),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            on_end: Some(Box::new(on_end)),
        };
        if http_body::Body::is_end_stream(&*response.body) {
            response.end(ResponseEnd::Complete);
        }
        response
    }

    fn end(&mut self, end: ResponseEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let end = if http_body::Body::is_end_stream(&*self.body) {
            ResponseEnd::Complete
        } else {
            ResponseEnd::Cancelled
        };
        self.end(end);
    }
}

impl http_body::Body for ResponseBody {
    type Data = bytes::Bytes;
    type Error = error::BoxError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        match http_body::Body::poll_frame(self.body.as_mut(), cx) {
            task::Poll::Ready(Some(Ok(frame))) => task::Poll::Ready(Some(Ok(frame))),
            task::Poll::Ready(Some(Err(_))) => {
                self.end(ResponseEnd::Truncated);
                task::Poll::Ready(Some(Err(ResponseBodyError::Truncated.into())))
            }
            task::Poll::Ready(None) => {
                self.end(ResponseEnd::Complete);
                task::Poll::Ready(None)
            }
            task::Poll::Pending => match Future::poll(self.deadline.as_mut(), cx) {
                task::Poll::Ready(()) => {
                    self.end(ResponseEnd::TimedOut);
                    task::Poll::Ready(Some(Err(ResponseBodyError::TimedOut.into())))
                }
                task::Poll::Pending => task::Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&*self.body)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::Body::size_hint(&*self.body)
    }
}
