//! The group of the keys of one epoch of one home.

use std::net;

/// Identifies the keys of one epoch of one home. Groups are ordered by home
/// address, then from oldest to youngest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WitnessGroup {
    /// Peer address of the home.
    pub home_address: net::SocketAddr,
    /// Incarnation of the home and its epoch; a greater pair is younger.
    pub generation: (u64, u64),
}
