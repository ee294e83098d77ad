//! Identity and addresses of this VM.

use std::net;

use crate::gateway;

/// Identity and addresses of this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address that accepts requests of callers.
    pub caller_address: net::SocketAddr,
    /// Address that serves entry-point queries of callers.
    pub entry_point_address: net::SocketAddr,
    /// Address that serves metrics; `None` if metrics are not served.
    pub metrics_address: Option<net::SocketAddr>,
    /// Address for other entry VMs, over TCP and UDP.
    pub peer_address: net::SocketAddr,
    /// Address of the platform's readiness probe.
    pub readiness_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Resources of the VM.
    pub resources: gateway::VmResources,
    /// Peer addresses of the entry VMs to contact first. Some may no longer exist.
    pub seeds: Vec<net::SocketAddr>,
    /// Name of the VM in logs and in the membership.
    pub vm_name: String,
}
