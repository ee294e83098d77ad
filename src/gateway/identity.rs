//! Who this VM is and where it listens.

use std::net;

/// Who this VM is and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers send requests.
    pub caller_address: net::SocketAddr,
    /// Where callers ask which addresses to use.
    pub entry_point_address: net::SocketAddr,
    /// Where metrics are served; nothing to serve none.
    pub metrics_address: Option<net::SocketAddr>,
    /// Where other entry VMs reach it, over TCP and UDP.
    pub peer_address: net::SocketAddr,
    /// Where the platform asks whether it takes requests.
    pub readiness_address: net::SocketAddr,
    /// Its region.
    pub region: String,
    /// Peer addresses of VMs to ask first; some may be gone.
    pub seeds: Vec<net::SocketAddr>,
    /// Its name in logs.
    pub vm_name: String,
}
