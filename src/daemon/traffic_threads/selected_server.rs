//! Server selected for an attempt.

use std::net;
use std::sync;

use crate::daemon;

/// Server selected for an attempt. The attempt counts as in flight on the
/// server until this is dropped.
pub struct SelectedServer {
    /// Address of the server.
    pub address: net::SocketAddr,
    /// Whether the server is in this VM's region.
    pub same_region: bool,
    /// Id of the server.
    pub server_id: String,
    /// State of the service on this entry VM.
    pub runtime: sync::Arc<daemon::ServiceRuntime>,
}

impl Drop for SelectedServer {
    fn drop(&mut self) {
        self.runtime.release_server(&self.server_id);
    }
}
