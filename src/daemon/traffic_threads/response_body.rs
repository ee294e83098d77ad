//! Body of a response on its way to the caller.

use std::pin;
use std::task;

use volo_http::body;
use volo_http::error;

/// End of the transfer of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseEnd {
    /// The caller disconnected before the end of the body.
    Cancelled,
    /// The complete body was sent.
    Complete,
    /// The deadline passed before the end of the body.
    TimedOut,
    /// The connection to the server was lost before the end of the body.
    Truncated,
}

/// Response body that is streamed to the caller.
///
/// A truncated body ends in an error. The caller's connection is then closed,
/// so that the caller notices the truncation.
pub struct ResponseBody {
    body: pin::Pin<Box<body::Body>>,
    deadline: pin::Pin<Box<tokio::time::Sleep>>,
    on_end: Option<Box<dyn FnOnce(ResponseEnd) + Send + Sync>>,
}

/// Error that ends a response body early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum ResponseBodyError {
    /// The deadline passed.
    #[snafu(display("the deadline passed during the transfer of the response"))]
    TimedOut,
    /// The connection to the server was lost.
    #[snafu(display("the response was truncated: the connection to the server was lost"))]
    Truncated,
}

impl ResponseBody {
    /// Wraps `body`. Calls `on_end` once, at the end of the transfer.
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
