//! Timer that checks whether the peer of a TCP connection is gone.

use std::io;
use std::pin;
use std::task;
use std::time;

use tokio::net::TcpStream;

use crate::http1;

/// Interval at which a peer is checked that has not acknowledged all yet.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Timer that checks whether the peer of a TCP connection is gone.
///
/// It runs only from a write until the peer has acknowledged all. A connection that carries
/// nothing costs nothing; the system's keep-alive probes show there that the peer is gone.
pub struct PeerTimer {
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    watch: http1::PeerWatch,
}

impl PeerTimer {
    /// Creates the timer of a connection whose peer counts as gone if it acknowledges nothing
    /// for `limit`.
    #[must_use]
    pub const fn new(limit: time::Duration) -> Self {
        Self {
            timer: None,
            watch: http1::PeerWatch::new(limit),
        }
    }

    /// Records that bytes were written, or wait until they can be.
    pub fn record_write(&mut self) {
        self.timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(CHECK_INTERVAL)));
    }

    /// Checks the peer when it is due. Where the system does not report the state of a
    /// connection, its own timeout decides instead.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::TimedOut`] if the peer is gone. What waits for it is dropped
    /// when the connection is closed.
    pub fn check(&mut self, context: &mut task::Context<'_>, stream: &TcpStream) -> io::Result<()> {
        while let Some(timer) = &mut self.timer {
            if timer.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            let now = tokio::time::Instant::now();
            let state = http1::TcpState::read(stream);
            match state.map(|state| self.watch.observe(now, &state)) {
                None | Some(http1::PeerState::Delivered) => self.timer = None,
                Some(http1::PeerState::Waiting) => timer.as_mut().reset(now + CHECK_INTERVAL),
                Some(http1::PeerState::Gone) => {
                    let socket = socket2::SockRef::from(stream);
                    let _ = socket.set_linger(Some(time::Duration::ZERO));
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }
}
