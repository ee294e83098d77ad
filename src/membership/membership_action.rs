//! Output actions of membership.

use std::net;

use crate::membership;

/// Output action of [`membership::Membership`], carried out by its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Read the members again: the table has changed.
    Changed,
    /// Fetch configuration records: a peer has some that this VM lacks.
    PeerOffsetSeen {
        /// First offset that the peer has not folded yet.
        next_offset: u64,
        /// Peer address of the VM that has the records.
        peer: net::SocketAddr,
    },
    /// Send a message; delivery is not guaranteed.
    Send {
        /// Message to send.
        message: membership::Message,
        /// Peer address of the receiver.
        to: net::SocketAddr,
    },
}
