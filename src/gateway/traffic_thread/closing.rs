//! Close of a caller's connection that leaves the caller time to read.

use std::io;
use std::mem;
use std::net;
use std::time;

use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::http1;

/// First interval between two checks of what the caller has acknowledged. It doubles with
/// each check.
const FIRST_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Longest interval between two checks.
const LAST_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval at which a connection is checked for its end while bytes wait in it that
/// are not read.
const END_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Time after which a response counts as delivered where the system does not report what the
/// caller has acknowledged.
const UNREPORTED_DELIVERY_TIME: time::Duration = time::Duration::from_secs(2);
/// Number of bytes that are discarded at once.
const DISCARDED_BYTES: usize = 16_384;

/// What becomes of the bytes that the caller still sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input {
    /// They are read and discarded: the rest of a request that has been answered. Some
    /// callers read the response only when they have sent all of it.
    Discarded,
    /// They are left unread: further requests, which the caller may send elsewhere.
    LeftUnread,
}

/// Limits of a close.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time until which the connection may stay open.
    pub end: tokio::time::Instant,
    /// Time without a byte or an acknowledgement from the caller after which it is closed.
    pub idle: time::Duration,
    /// Time without an acknowledgement that is due after which the caller is gone.
    pub unacknowledged: time::Duration,
}

/// Ends the connection in the direction to the caller, and waits until the caller has
/// closed it as well, within `limits`. Returns whether the caller has closed it.
///
/// The system resets a connection that is closed with unread bytes, or that gets bytes
/// after its close. The caller then loses what it has not read of the response.
///
/// `carried` is dropped as soon as a close can no longer lose anything: the caller has
/// acknowledged all that was written, and has sent nothing that is not read.
pub async fn close<T>(stream: &TcpStream, input: Input, limits: Limits, carried: T) -> bool {
    let _ = socket2::SockRef::from(stream).shutdown(net::Shutdown::Write);
    let mut carried = Some(carried);
    let mut watch = http1::PeerWatch::new(limits.unacknowledged);
    let begun_at = tokio::time::Instant::now();
    let (mut active_at, mut acknowledged_bytes) = (begun_at, 0);
    let mut check_interval = FIRST_CHECK_INTERVAL;
    let mut next_check_at = begun_at;
    loop {
        let end = limits.end.min(active_at + limits.idle);
        match tokio::time::timeout_at(end.min(next_check_at), next_bytes(stream, input)).await {
            Ok(Ok(())) => active_at = tokio::time::Instant::now(),
            Ok(Err(_)) => return true,
            Err(_) if tokio::time::Instant::now() >= end => return false,
            Err(_) => {
                let now = tokio::time::Instant::now();
                next_check_at = now + check_interval;
                check_interval = LAST_CHECK_INTERVAL.min(check_interval * 2);
                let state = http1::TcpState::read(stream);
                let peer = state.map(|state| watch.observe(now, &state));
                let bytes = state.map_or(0, |state| state.acknowledged_bytes);
                if mem::replace(&mut acknowledged_bytes, bytes) != bytes {
                    active_at = now;
                }
                let is_delivered = match peer {
                    Some(http1::PeerState::Gone) => return false,
                    Some(peer) => peer == http1::PeerState::Delivered,
                    None => now >= begun_at + UNREPORTED_DELIVERY_TIME,
                };
                if is_delivered && input == Input::LeftUnread && !has_unread_bytes(stream) {
                    carried = None;
                }
            }
        }
        if carried.is_none() {
            // The rest only waits for the caller's close.
            next_check_at = end;
        }
    }
}

/// Returns whether bytes of the caller wait to be read.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [mem::MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut byte), Ok(1..))
}

/// Waits for bytes from the caller.
///
/// # Errors
///
/// Returns the reason if there will be none: the caller has closed the connection.
async fn next_bytes(stream: &TcpStream, input: Input) -> io::Result<()> {
    match input {
        Input::Discarded => discard_next(stream).await,
        Input::LeftUnread => wait_for_end(stream).await,
    }
}

async fn discard_next(stream: &TcpStream) -> io::Result<()> {
    loop {
        stream.readable().await?;
        match try_discard(stream) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Reads some bytes. They are not part of the state of a connection that waits.
fn try_discard(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARDED_BYTES])
}

async fn wait_for_end(stream: &TcpStream) -> io::Result<()> {
    loop {
        // Unread bytes hide the end of the connection from a peek.
        let is_ended = stream.ready(Interest::READABLE).await?.is_read_closed();
        if is_ended || stream.peek(&mut [0]).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        tokio::time::sleep(END_CHECK_INTERVAL).await;
    }
}
