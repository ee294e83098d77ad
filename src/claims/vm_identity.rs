//! The identity of one start of the daemon on one VM.

use std::net;

/// Identity of one start of the daemon on one VM. It changes with every
/// restart.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct VmIdentity {
    /// Number that grows with every start of the daemon at this address.
    pub incarnation: u64,
    /// Address for messages from other entry VMs.
    pub peer_address: net::SocketAddr,
}
