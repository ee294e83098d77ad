//! Stream of a connection to a server, which ends if its peer is gone.

use std::io;
use std::pin;
use std::sync;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::http1;

/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Stream of a connection to a server.
///
/// Reads and writes fail when the server is gone. Reads also fail when a response exceeds its
/// limits.
pub struct WatchedStream {
    interim: http1::InterimCounter,
    peer_timer: http1::PeerTimer,
    read_limit: sync::Arc<http1::ReadLimit>,
    stream: TcpStream,
}

impl WatchedStream {
    /// Creates the stream of a connection, and the limit of its responses.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        options: &http1::SocketOptions,
    ) -> (Self, sync::Arc<http1::ReadLimit>) {
        let read_limit = sync::Arc::new(http1::ReadLimit::default());
        let stream = Self {
            interim: http1::InterimCounter::default(),
            peer_timer: http1::PeerTimer::new(options.unacknowledged_timeout),
            read_limit: sync::Arc::clone(&read_limit),
            stream,
        };
        (stream, read_limit)
    }

    /// Returns the result of a write, and checks the peer if it has to wait.
    fn record_write<T>(
        &mut self,
        context: &mut task::Context<'_>,
        written: task::Poll<io::Result<T>>,
    ) -> task::Poll<io::Result<T>> {
        self.peer_timer.record_write();
        if written.is_pending() {
            self.peer_timer.check(context, &self.stream)?;
        }
        written
    }
}

fn response_too_large() -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        "response exceeds the limits on its head or framing",
    )
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.read_limit.is_reached() {
            return task::Poll::Ready(Err(response_too_large()));
        }
        let filled_bytes = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            let this = &mut *self;
            this.peer_timer.check(context, &this.stream)?;
        }
        let bytes = &buffer.filled()[filled_bytes..];
        if !self.read_limit.awaits_head() {
            // The next response begins after the next request.
            self.interim = http1::InterimCounter::default();
        } else if self.interim.feed(bytes) > MAX_INTERIM_RESPONSES {
            return task::Poll::Ready(Err(response_too_large()));
        }
        self.read_limit.record_read(bytes.len());
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
