//! The body of a request on its way to a backend server.

use std::pin;
use std::sync;
use std::task;
use std::time;

use volo_http::body;
use volo_http::error;

/// A caller's body that can be taken back from an attempt that never started
/// to read it, and that gives up on a caller who stops sending.
///
/// Nothing is buffered: the next piece is read when the server takes it, so a
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

/// Why a caller's body stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum RequestBodyError {
    /// The caller's connection broke.
    #[snafu(display("the caller's connection broke"))]
    ConnectionLost,
    /// The caller sent nothing for too long.
    #[snafu(display("the caller sent nothing for too long"))]
    IdleTimeout,
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than allowed"))]
    TooLarge,
}

impl RequestBody {
    /// Wraps `body`, of which at most `limit_bytes` are read, each piece
    /// within `idle`.
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

    /// Gives whether any of the body has been read.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.lock().read_bytes > 0
    }

    /// Gives when the last piece was read.
    #[must_use]
    pub fn last_read(&self) -> Option<tokio::time::Instant> {
        self.lock().last_read
    }

    /// Gives why the body stopped, if the caller is to blame.
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
        // The timer starts with the wait: time that the backend server takes
        // is not the caller's.
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
