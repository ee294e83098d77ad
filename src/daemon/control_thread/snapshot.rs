//! Snapshot that the control thread publishes for the traffic threads.

use std::net;
use std::sync;

use crate::config_fold;
use crate::daemon;
use crate::routing;

/// State of the fleet that the traffic threads read. The control thread
/// replaces it as one unit.
#[derive(Clone, Default)]
pub struct Snapshot {
    /// Configuration in force, or `None` until the first one is available.
    pub configuration: Option<sync::Arc<Configuration>>,
    /// Entry points returned to callers, best first.
    pub entry_points: Vec<daemon::EntryPoint>,
    /// Other entry VMs by peer address. A keyed request is forwarded to the VM
    /// that is the home of its key.
    pub entry_vms: indexmap::IndexMap<net::SocketAddr, EntryVm>,
    /// Prefix for new keys whose home is this VM, or `None` without a witness.
    pub own_key_prefix: Option<String>,
}

/// Entry VM other than this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address to which callers and entry VMs send requests.
    pub caller_address: net::SocketAddr,
    /// Address to which other entry VMs connect for peer messages.
    pub peer_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Id of the VM.
    pub vm_id: String,
}

/// Configuration in force with its derived routes and services.
pub struct Configuration {
    /// Peer address of each service's dispatcher, by service name.
    pub dispatchers: indexmap::IndexMap<String, net::SocketAddr>,
    /// Configuration as folded from the log.
    pub in_force: config_fold::InForce,
    /// Route table of the bundle.
    pub routes: sync::Arc<routing::RouteTable>,
    /// State of each service on this entry VM, by service name.
    pub services: indexmap::IndexMap<String, sync::Arc<daemon::ServiceRuntime>>,
}
