//! What the control thread learns.

use std::net;

use crate::gateway;
use crate::gateway::control_thread::fleet_service;
use crate::ports;

/// What the control thread learns.
pub enum ControlEvent {
    /// The registry was read.
    BackendsRead {
        /// Whether all keys were read, not changes.
        is_full_read: bool,
        /// What came.
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    },
    /// The configuration was read.
    ConfigurationRead {
        /// What came.
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    },
    /// A datagram came in.
    Datagram {
        /// Its sender.
        from: net::SocketAddr,
        /// What it says.
        message: gateway::FleetMessage,
    },
    /// This VM leaves.
    Leave,
    /// A peer was asked for what changed.
    Pulled {
        /// The peer.
        from: net::SocketAddr,
        /// What came.
        pulled: Result<Option<Box<fleet_service::PulledState>>, String>,
    },
    /// The settings have other seeds.
    SeedsChanged(Vec<net::SocketAddr>),
    /// The store listed the VMs.
    VmsListed(Result<Vec<net::SocketAddr>, ports::StoreError>),
}
