//! The keys of one epoch of one home.

use std::net;

/// Names the keys of one epoch of one home, ordered by generation within an address.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WitnessGroup {
    /// Address of the home.
    pub home_address: net::SocketAddr,
    /// Run of the home and epoch: a later pair is younger.
    pub generation: (u64, u64),
}
