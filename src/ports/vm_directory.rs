//! Entry VMs as the platform's store lists them.

use std::net;

use crate::ports;

/// Entry VMs as the platform's store lists them; a last resort for a VM whose
/// seeds do not answer.
pub trait VmDirectory: Send + Sync {
    /// Adds this VM's peer address.
    ///
    /// # Errors
    ///
    /// Gives why the store did not take it.
    fn announce(
        &self,
        peer: net::SocketAddr,
    ) -> ports::BoxFuture<'_, Result<(), ports::StoreError>>;

    /// Gives the peer addresses of all VMs ever added; some may be gone.
    ///
    /// # Errors
    ///
    /// Gives why the store gave none.
    fn list(&self) -> ports::BoxFuture<'_, Result<Vec<net::SocketAddr>, ports::StoreError>>;
}
