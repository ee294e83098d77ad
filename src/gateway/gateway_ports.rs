//! What a platform gives to the gateway.

use std::sync;

use crate::ports;

/// What a platform gives to the gateway.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Backend servers that register themselves.
    pub backends: sync::Arc<dyn ports::ChangeFeed<ports::Backend>>,
    /// The operator's configuration; only its newest version counts.
    pub configuration: sync::Arc<dyn ports::ChangeFeed<ports::FleetConfiguration>>,
    /// How callers ask for addresses.
    pub entry_points: sync::Arc<dyn ports::EntryPointCodec>,
    /// How headers are spelled.
    pub headers: ports::HeaderNames,
    /// Entry VMs as the store lists them.
    pub vms: sync::Arc<dyn ports::VmDirectory>,
}
