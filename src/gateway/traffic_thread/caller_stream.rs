//! Stream of a caller's connection that observes what the caller sends ahead.

use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::gateway::traffic_thread::closing;
use crate::gateway::traffic_thread::in_flight;
use crate::http1;

/// Interval at which a connection is checked for its end while bytes wait in it that
/// are not read yet.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time at which the last byte of a request's head was received. An extension of the
/// request.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedAt(pub tokio::time::Instant);

/// Stream of a caller's connection.
///
/// Load pattern: a caller sends further requests before the first response, and its
/// time for them passes while they wait; or it leaves meanwhile. The HTTP library
/// reads the next request ahead and then no longer notices the end of the
/// connection.
pub struct CallerStream {
    observer: sync::Arc<CallerObserver>,
    peer_timer: http1::PeerTimer,
    stream: sync::Arc<TcpStream>,
}

/// Observations of a caller's connection.
pub struct CallerObserver {
    /// Time until which the caller waits for its last response.
    deadline: sync::Mutex<tokio::time::Instant>,
    /// Counts the last request while its response has not been written.
    in_flight: sync::Mutex<Option<in_flight::InFlightGuard>>,
    /// Whether all of the last response has been handed to the HTTP library.
    is_response_complete: atomic::AtomicBool,
    is_serving: atomic::AtomicBool,
    /// Whether the last request has been dropped before all of it was read.
    is_upload_unread: atomic::AtomicBool,
    last_read_at: sync::Mutex<tokio::time::Instant>,
    request_begun: Notify,
    stream: sync::Arc<TcpStream>,
    /// Time without an acknowledgement that is due after which the caller is gone.
    unacknowledged_timeout: time::Duration,
}

impl CallerStream {
    /// Creates the stream of a connection and its observer. Its writes fail when the caller
    /// has acknowledged nothing for `unacknowledged_timeout`.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        unacknowledged_timeout: time::Duration,
    ) -> (Self, sync::Arc<CallerObserver>) {
        let stream = sync::Arc::new(stream);
        let now = tokio::time::Instant::now();
        let observer = sync::Arc::new(CallerObserver {
            deadline: sync::Mutex::new(now),
            in_flight: sync::Mutex::new(None),
            is_response_complete: atomic::AtomicBool::new(false),
            is_serving: atomic::AtomicBool::new(false),
            is_upload_unread: atomic::AtomicBool::new(false),
            last_read_at: sync::Mutex::new(now),
            request_begun: Notify::new(),
            stream: sync::Arc::clone(&stream),
            unacknowledged_timeout,
        });
        let caller_stream = Self {
            observer: sync::Arc::clone(&observer),
            peer_timer: http1::PeerTimer::new(unacknowledged_timeout),
            stream,
        };
        (caller_stream, observer)
    }
}

impl CallerObserver {
    /// Records that the service of a request begins, and returns when the last byte
    /// of its head was received.
    ///
    /// The request is counted by `in_flight` until its response has been written.
    pub fn begin_request(&self, in_flight: Option<in_flight::InFlightGuard>) -> ArrivedAt {
        self.is_response_complete
            .store(false, atomic::Ordering::Relaxed);
        self.is_upload_unread
            .store(false, atomic::Ordering::Relaxed);
        *lock(&self.in_flight) = in_flight;
        self.is_serving.store(true, atomic::Ordering::Relaxed);
        self.request_begun.notify_one();
        ArrivedAt(*lock(&self.last_read_at))
    }

    /// Records that the response to the request is ready.
    pub fn end_request(&self) {
        self.is_serving.store(false, atomic::Ordering::Relaxed);
    }

    /// Records that all of the response has been handed to the HTTP library.
    pub fn complete_response(&self) {
        self.is_response_complete
            .store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the request is dropped before all of its body was read.
    pub fn leave_upload_unread(&self) {
        self.is_upload_unread.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that nothing is written any more.
    pub fn end_writing(&self) {
        *lock(&self.in_flight) = None;
    }

    /// Returns whether the system has not delivered all that was written to the caller.
    #[must_use]
    pub fn has_undelivered_bytes(&self) -> bool {
        let state = http1::TcpState::read(&self.stream);
        state.is_some_and(|state| !state.is_delivered())
    }

    /// Waits until the caller has closed the connection and returns whether it has. It is
    /// given until it has been idle for `idle_timeout`, and that time or its deadline at most.
    ///
    /// `is_invalid` states whether the caller has sent something that is no request.
    /// `carried` is dropped as soon as a close can no longer lose anything.
    pub async fn closed_by_caller<T>(
        &self,
        is_invalid: bool,
        idle_timeout: time::Duration,
        carried: T,
    ) -> bool {
        let is_upload_unread = self.is_upload_unread.load(atomic::Ordering::Relaxed);
        let input = if is_upload_unread || is_invalid {
            closing::Input::Discarded
        } else {
            closing::Input::LeftUnread
        };
        let deadline = *lock(&self.deadline);
        let limits = closing::Limits {
            end: deadline.max(tokio::time::Instant::now() + idle_timeout),
            idle: idle_timeout,
            unacknowledged: self.unacknowledged_timeout,
        };
        closing::close(&self.stream, input, limits, carried).await
    }

    /// Returns the field of a log line that names the caller.
    #[must_use]
    pub fn caller_field(&self) -> String {
        let caller = self.stream.peer_addr();
        caller.map_or_else(
            |_| "caller=gone".to_owned(),
            |caller| format!("caller={caller}"),
        )
    }

    /// Closes the connection. What the caller has not taken of the response is dropped.
    pub fn close(&self) {
        let socket = socket2::SockRef::from(self.stream.as_ref());
        // Otherwise the system keeps what it has buffered until the caller reads it.
        let _ = socket.set_linger(Some(time::Duration::ZERO));
        let _ = socket.shutdown(net::Shutdown::Both);
    }

    /// Waits until the caller closes the connection while a request is being served.
    pub async fn caller_left(&self) {
        loop {
            self.request_begun.notified().await;
            while self.is_serving.load(atomic::Ordering::Relaxed) {
                match self.stream.peek(&mut [0]).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => tokio::time::sleep(CHECK_INTERVAL).await,
                }
            }
        }
    }

    fn record_read(&self) {
        *lock(&self.last_read_at) = tokio::time::Instant::now();
    }
}

/// Records until when the caller waits for its response with the observer among a request's
/// extensions.
pub fn record_deadline(extensions: &http::Extensions, deadline: tokio::time::Instant) {
    if let Some(observer) = extensions.get::<sync::Arc<CallerObserver>>() {
        *lock(&observer.deadline) = deadline;
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.stream.poll_read_ready(context)?.is_pending() {
                this.peer_timer.check(context, &this.stream)?;
                return task::Poll::Pending;
            }
            match this.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    if count > 0 {
                        this.observer.record_read();
                    }
                    return task::Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return task::Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.peer_timer.record_write();
        loop {
            if this.stream.poll_write_ready(context)?.is_pending() {
                this.peer_timer.check(context, &this.stream)?;
                return task::Poll::Pending;
            }
            match this.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return task::Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The HTTP library flushes when it has written all that it was handed.
        let observer = &self.observer;
        if observer
            .is_response_complete
            .swap(false, atomic::Ordering::Relaxed)
        {
            observer.end_writing();
        }
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(self.stream.as_ref());
        task::Poll::Ready(socket.shutdown(net::Shutdown::Write))
    }
}
