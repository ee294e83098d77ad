//! Input events of membership.

use std::net;

use crate::membership;

/// Input event of [`membership::Membership`].
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// This VM has folded the configuration log up to an offset.
    ConfigurationOffset {
        /// First offset that is not folded yet.
        next_offset: u64,
    },
    /// This VM leaves the fleet.
    Leave,
    /// A message was received.
    Message {
        /// Peer address of the sender.
        from: net::SocketAddr,
        /// Received message.
        message: membership::Message,
    },
    /// Time has passed.
    Tick,
    /// The platform's VM list was read.
    VmList(Vec<membership::ListedVm>),
}
