//! Interfaces that the platform provides to the gateway.

use std::sync;

use crate::ports;

/// Interfaces that the platform provides to the gateway.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Feed of the registry, in which backend servers register themselves.
    pub backends: sync::Arc<dyn ports::ChangeFeed<ports::Backend>>,
    /// Feed of the operator's configuration. Only the newest version applies.
    pub configuration: sync::Arc<dyn ports::ChangeFeed<ports::FleetConfiguration>>,
    /// Format of entry-point queries and responses.
    pub entry_points: sync::Arc<dyn ports::EntryPointCodec>,
    /// Names of the platform's HTTP headers.
    pub headers: ports::HeaderNames,
    /// Directory of entry VMs in the store.
    pub vms: sync::Arc<dyn ports::VmDirectory>,
}
