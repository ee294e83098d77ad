//! Body of a request on its way to a backend server.

use std::pin;
use std::sync;
use std::task;
use std::time;

use volo_http::body;
use volo_http::error;

/// Request body with a size limit and an idle timeout.
///
/// Clones share one stream. If an attempt failed before any of the body was
/// read, a further attempt can send another clone.
///
/// Nothing is buffered: a frame is read only when the server accepts it, so a
/// slow server slows the caller down.
#[derive(Clone)]
pub struct RequestBody {
    shared: sync::Arc<sync::Mutex<Shared>>,
}

struct Shared {
    body: pin::Pin<Box<body::Body>>,
    idle_timeout: time::Duration,
    idle_timer: pin::Pin<Box<tokio::time::Sleep>>,
    last_read: Option<tokio::time::Instant>,
    limit_bytes: u64,
    read_bytes: u64,
    body_error: Option<RequestBodyError>,
    is_waiting: bool,
}

/// Error that ends a request body early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum RequestBodyError {
    /// The connection to the caller was lost.
    #[snafu(display("the connection to the caller was lost"))]
    ConnectionLost,
    /// The caller sent no data within the idle timeout.
    #[snafu(display("the caller sent no data within the idle timeout"))]
    IdleTimeout,
    /// The body is larger than the limit.
    #[snafu(display("the request body exceeds the size limit"))]
    TooLarge,
}

impl RequestBody {
    /// Wraps `body`. Reading fails after more than `limit_bytes`, or when the
    /// caller sends nothing for `idle_timeout`.
    #[must_use]
    pub fn new(body: body::Body, limit_bytes: u64, idle_timeout: time::Duration) -> Self {
        Self {
            shared: sync::Arc::new(sync::Mutex::new(Shared {
                body: Box::pin(body),
                idle_timeout,
                idle_timer: Box::pin(tokio::time::sleep(idle_timeout)),
                last_read: None,
                limit_bytes,
                read_bytes: 0,
                body_error: None,
                is_waiting: false,
            })),
        }
    }

    /// Returns whether any part of the body has been read.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.lock().read_bytes > 0
    }

    /// Returns the time at which the last frame was read, or `None` if no frame
    /// was read.
    #[must_use]
    pub fn last_read(&self) -> Option<tokio::time::Instant> {
        self.lock().last_read
    }

    /// Returns the error that ended the body early, if there was one.
    #[must_use]
    pub fn body_error(&self) -> Option<RequestBodyError> {
        self.lock().body_error
    }

    fn lock(&self) -> sync::MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Shared {
    fn poll(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, RequestBodyError>>> {
        if let Some(error) = self.body_error {
            return task::Poll::Ready(Some(Err(error)));
        }
        match http_body::Body::poll_frame(self.body.as_mut(), cx) {
            task::Poll::Ready(Some(Ok(frame))) => task::Poll::Ready(Some(self.record_frame(frame))),
            task::Poll::Ready(Some(Err(_))) => {
                task::Poll::Ready(Some(Err(self.fail(RequestBodyError::ConnectionLost))))
            }
            task::Poll::Ready(None) => task::Poll::Ready(None),
            task::Poll::Pending => self.poll_idle(cx),
        }
    }

    fn poll_idle(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, RequestBodyError>>> {
        // The timer starts when a frame is awaited, so the time that the
        // backend server takes to accept data is not counted as idle time of
        // the caller.
        if !self.is_waiting {
            self.is_waiting = true;
            let idle_deadline = tokio::time::Instant::now() + self.idle_timeout;
            self.idle_timer.as_mut().reset(idle_deadline);
        }
        match Future::poll(self.idle_timer.as_mut(), cx) {
            task::Poll::Ready(()) => {
                task::Poll::Ready(Some(Err(self.fail(RequestBodyError::IdleTimeout))))
            }
            task::Poll::Pending => task::Poll::Pending,
        }
    }

    fn record_frame(
        &mut self,
        frame: http_body::Frame<bytes::Bytes>,
    ) -> Result<http_body::Frame<bytes::Bytes>, RequestBodyError> {
        let frame_bytes = frame.data_ref().map_or(0, bytes::Bytes::len);
        self.read_bytes += u64::try_from(frame_bytes).unwrap_or(u64::MAX);
        self.last_read = Some(tokio::time::Instant::now());
        self.is_waiting = false;
        if self.read_bytes > self.limit_bytes {
            return Err(self.fail(RequestBodyError::TooLarge));
        }
        Ok(frame)
    }

    fn fail(&mut self, error: RequestBodyError) -> RequestBodyError {
        self.body_error = Some(error);
        error
    }
}

impl http_body::Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = error::BoxError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        self.lock().poll(cx).map_err(error::BoxError::from)
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&*self.lock().body)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::Body::size_hint(&*self.lock().body)
    }
}
