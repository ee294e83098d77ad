//! Decides whether the peer of a TCP connection is gone.

use std::mem;
use std::time;

use crate::http1;

/// Number of retransmissions or probes in a row without an answer after which a peer may
/// count as gone. Single ones are lost on a faulty link.
const MIN_UNANSWERED_COUNT: u8 = 3;

/// What is known of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerState {
    /// It has acknowledged all that was written.
    Delivered,
    /// It does not answer any more.
    Gone,
    /// It has not acknowledged all yet.
    Waiting,
}

/// Observes the acknowledgements of a peer, to tell one that is gone from one that is slow.
///
/// A peer that reads nothing closes its window and still acknowledges the system's probes. A
/// peer that is gone acknowledges neither segments nor probes. The time between two probes of
/// a closed window grows, so only one that is not answered counts, not the time since the
/// last answer.
#[derive(Debug)]
pub struct PeerWatch {
    acknowledged_bytes: u64,
    limit: time::Duration,
    /// Since when the peer has left something unanswered; `None` if it has answered all.
    silent_since: Option<tokio::time::Instant>,
}

impl PeerWatch {
    /// Creates the watch of a connection whose peer counts as gone if it acknowledges nothing
    /// for `limit`.
    #[must_use]
    pub const fn new(limit: time::Duration) -> Self {
        Self {
            acknowledged_bytes: 0,
            limit,
            silent_since: None,
        }
    }

    /// Takes in the state of the connection at `now`.
    pub fn observe(&mut self, now: tokio::time::Instant, state: &http1::TcpState) -> PeerState {
        let acknowledged_bytes =
            mem::replace(&mut self.acknowledged_bytes, state.acknowledged_bytes);
        if state.unacknowledged_segments == 0 && !state.waits_for_probe {
            self.silent_since = None;
            return if state.is_delivered() {
                PeerState::Delivered
            } else {
                PeerState::Waiting
            };
        }
        let has_progressed = acknowledged_bytes != state.acknowledged_bytes;
        let mut silent_since = self.silent_since.filter(|_| !has_progressed).unwrap_or(now);
        if let Some(at) = state.last_acknowledged_at(now) {
            silent_since = silent_since.max(at);
        }
        self.silent_since = Some(silent_since);
        let is_silent = now.duration_since(silent_since) >= self.limit;
        if is_silent && (!state.is_detailed() || state.unanswered_count >= MIN_UNANSWERED_COUNT) {
            PeerState::Gone
        } else {
            PeerState::Waiting
        }
    }
}
