//! What membership learns.

use std::net;

use crate::membership;

/// What membership learns.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// This VM has folded the configuration up to an offset.
    ConfigurationOffset {
        /// First offset not folded yet.
        next_offset: u64,
    },
    /// This VM leaves.
    Leave,
    /// A message came in.
    Message {
        /// The peer address of its sender.
        from: net::SocketAddr,
        /// The message.
        message: membership::Message,
    },
    /// Time has passed.
    Tick,
    /// The platform's VM list was read.
    VmList(Vec<membership::ListedVm>),
}
