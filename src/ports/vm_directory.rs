//! List of entry VMs in the platform's store.

use std::net;

use crate::ports;

/// List of entry VMs in the platform's store. A VM uses it to find peers when
/// none of its seeds responds.
pub trait VmDirectory: Send + Sync {
    /// Adds this VM's peer address to the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write.
    fn announce(
        &self,
        peer: net::SocketAddr,
    ) -> ports::BoxFuture<'_, Result<(), ports::StoreError>>;

    /// Returns the peer addresses of all VMs that were ever added. Some of
    /// these VMs may no longer exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read.
    fn list(&self) -> ports::BoxFuture<'_, Result<Vec<net::SocketAddr>, ports::StoreError>>;
}
