//! Criteria for the choice of the entry VM that a request is relayed to.

use std::net;

use crate::configs;
use crate::gateway;

/// Criteria for the choice of the entry VM that a request is relayed to.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequest<'a> {
    /// Settings of the gateway.
    pub config: &'a configs::GatewayConfig,
    /// Whether the configuration in force has a route with large responses.
    pub has_downloads: bool,
    /// Identity of this VM.
    pub identity: &'a gateway::Identity,
    /// Random value in `0.0..1.0` that decides between equal VMs.
    pub random_value: f64,
    /// Caller addresses of the VMs that the request was relayed to before.
    pub tried: &'a [net::SocketAddr],
    /// Entry VMs that are advertised or may be.
    pub vms: &'a [gateway::EntryVm],
}
