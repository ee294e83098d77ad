//! What the traffic threads read: swapped whole by the control thread.

use std::net;
use std::sync;

use crate::config_fold;
use crate::daemon;
use crate::routing;

/// What the traffic threads read of the fleet's state.
#[derive(Clone, Default)]
pub struct Snapshot {
    /// What is in force; nothing until the first configuration has come.
    pub configuration: Option<sync::Arc<Configuration>>,
    /// What callers are told to use, best first.
    pub entry_points: Vec<daemon::EntryPoint>,
    /// Entry VMs known by peer address, to send keyed requests to their home.
    pub entry_vms: indexmap::IndexMap<net::SocketAddr, EntryVm>,
    /// Prefix for new keys whose home is this VM; missing without a witness.
    pub own_key_prefix: Option<String>,
}

/// Another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers and entry VMs send requests.
    pub caller_address: net::SocketAddr,
    /// Where other entry VMs connect.
    pub peer_address: net::SocketAddr,
    /// Its region.
    pub region: String,
    /// Its name.
    pub vm_id: String,
}

/// A configuration in force, made ready for use.
pub struct Configuration {
    /// Peer address of each service's dispatcher, by service name.
    pub dispatchers: indexmap::IndexMap<String, net::SocketAddr>,
    /// The configuration as folded from the log.
    pub in_force: config_fold::InForce,
    /// Its routes.
    pub routes: sync::Arc<routing::RouteTable>,
    /// Its services on this entry VM, by name.
    pub services: indexmap::IndexMap<String, sync::Arc<daemon::ServiceRuntime>>,
}
