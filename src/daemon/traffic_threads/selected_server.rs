//! One request on one server.

use std::net;
use std::sync;

use crate::daemon;

/// One request on one server. Given back when dropped.
pub struct SelectedServer {
    /// The server's address.
    pub address: net::SocketAddr,
    /// Whether the server is in this VM's region.
    pub same_region: bool,
    /// The server's id.
    pub server_id: String,
    /// The service on this entry VM.
    pub runtime: sync::Arc<daemon::ServiceRuntime>,
}

impl Drop for SelectedServer {
    fn drop(&mut self) {
        self.runtime.release_server(&self.server_id);
    }
}
