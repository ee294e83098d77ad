//! State of a TCP connection, as the operating system reports it.

use std::os::fd::AsRawFd as _;
use std::time;

use tokio::net::TcpStream;

/// Size of the part of the system's structure that is read, in bytes. Its layout is the same
/// on all processors.
const INFO_BYTES: usize = 148;
/// Positions of fields in the system's structure.
const RETRANSMITS_AT: usize = 2;
const PROBES_AT: usize = 3;
const UNACKNOWLEDGED_AT: usize = 24;
const LAST_ACKNOWLEDGEMENT_AT: usize = 56;
const ACKNOWLEDGED_BYTES_AT: usize = 120;
const UNSENT_BYTES_AT: usize = 144;

/// State of the transmission to the peer of a TCP connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TcpState {
    /// Number of bytes that the peer has acknowledged.
    pub acknowledged_bytes: u64,
    /// Number of segments that were sent and not acknowledged.
    pub unacknowledged_segments: u32,
    /// Number of retransmissions or probes since the peer last acknowledged any.
    pub unanswered_count: u8,
    /// Number of bytes that were not sent yet: the peer's window is closed, or the network
    /// takes no more.
    pub unsent_bytes: u32,
    /// Whether a probe waits for its acknowledgement.
    pub waits_for_probe: bool,
    /// Time since the peer last sent an acknowledgement, also one of a probe that leaves its
    /// window closed.
    pub since_acknowledgement: time::Duration,
}

impl TcpState {
    /// Reads the state of a connection; `None` if the system does not report it.
    #[must_use]
    pub fn read(stream: &TcpStream) -> Option<Self> {
        let mut info = [0_u8; INFO_BYTES];
        let mut length = libc::socklen_t::try_from(INFO_BYTES).ok()?;
        // SAFETY: the socket is open as long as `stream` is borrowed, and the system writes at
        // most `length` bytes to `info`.
        #[expect(
            unsafe_code,
            reason = "no library that is in use offers this socket option"
        )]
        let result = unsafe {
            libc::getsockopt(
                stream.as_raw_fd(),
                libc::IPPROTO_TCP,
                libc::TCP_INFO,
                info.as_mut_ptr().cast(),
                &raw mut length,
            )
        };
        (result == 0 && usize::try_from(length).ok()? >= INFO_BYTES).then(|| Self::parse(&info))
    }

    fn parse(info: &[u8; INFO_BYTES]) -> Self {
        let number = |at: usize| {
            let bytes = info[at..at + 4].try_into().unwrap_or_default();
            u32::from_ne_bytes(bytes)
        };
        let acknowledged_bytes = info[ACKNOWLEDGED_BYTES_AT..ACKNOWLEDGED_BYTES_AT + 8].try_into();
        let since_acknowledgement_ms = u64::from(number(LAST_ACKNOWLEDGEMENT_AT));
        Self {
            acknowledged_bytes: u64::from_ne_bytes(acknowledged_bytes.unwrap_or_default()),
            unacknowledged_segments: number(UNACKNOWLEDGED_AT),
            unanswered_count: info[RETRANSMITS_AT].max(info[PROBES_AT]),
            unsent_bytes: number(UNSENT_BYTES_AT),
            waits_for_probe: info[PROBES_AT] > 0,
            since_acknowledgement: time::Duration::from_millis(since_acknowledgement_ms),
        }
    }

    /// Returns whether the system reports retransmissions, probes and the time of the last
    /// acknowledgement. Some report acknowledged bytes and segments only.
    #[must_use]
    pub const fn is_detailed(&self) -> bool {
        self.unanswered_count > 0 || !self.since_acknowledgement.is_zero()
    }

    /// Returns when the peer last sent an acknowledgement; `None` if the system does not
    /// report it.
    #[must_use]
    pub fn last_acknowledged_at(&self, now: tokio::time::Instant) -> Option<tokio::time::Instant> {
        let is_reported = self.is_detailed();
        is_reported.then(|| now.checked_sub(self.since_acknowledgement))?
    }

    /// Returns whether the peer has acknowledged all that was written.
    #[must_use]
    pub const fn is_delivered(&self) -> bool {
        self.unacknowledged_segments == 0 && self.unsent_bytes == 0
    }
}
