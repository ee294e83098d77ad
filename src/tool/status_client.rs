//! Interface of clients that read the status of VMs.

use std::net;

use futures::future;

use crate::tool;

/// Client that reads the status of VMs from their operator ports.
pub trait StatusClient: Send + Sync {
    /// Returns the status of the VM whose operator port is at `address`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the status could not be read.
    fn status(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<tool::VmStatus, String>>;
}
