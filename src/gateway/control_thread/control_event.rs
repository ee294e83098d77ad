//! Events handled by the control thread.

use std::net;

use crate::gateway;
use crate::gateway::control_thread::fleet_service;
use crate::ports;

/// Event handled by the control thread.
pub enum ControlEvent {
    /// A read of the registry has ended.
    BackendsRead {
        /// When the read began, in milliseconds of the process clock.
        begun_ms: u64,
        /// Whether the newest record of each key was read rather than the
        /// changes since an offset.
        is_full_read: bool,
        /// Page that was read, or the error.
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    },
    /// A read of the configuration has ended.
    ConfigurationRead {
        /// When the read began, in milliseconds of the process clock.
        begun_ms: u64,
        /// Page that was read, or the error.
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    },
    /// A datagram from another entry VM was received.
    Datagram {
        /// Address of the sender.
        from: net::SocketAddr,
        /// Decoded message.
        message: gateway::FleetMessage,
    },
    /// This VM leaves the fleet.
    Leave,
    /// A pull of state from a peer has ended.
    Pulled {
        /// When the pull began, in milliseconds of the process clock.
        begun_ms: u64,
        /// Address of the peer.
        from: net::SocketAddr,
        /// State returned by the peer, or the error.
        pulled: Result<Box<fleet_service::PulledState>, String>,
    },
    /// The settings were reloaded and list these seeds.
    SeedsChanged(Vec<net::SocketAddr>),
    /// A call to the store's list of entry VMs has ended.
    VmsListed(Result<Vec<net::SocketAddr>, ports::StoreError>),
}
