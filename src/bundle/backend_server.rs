//! Backend server in a bundle.

use std::net;

/// Backend server: a process that runs requests of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: String,
    /// Maximum number of connections that the server accepts, from all entry
    /// VMs together.
    #[serde(default = "default_connection_limit")]
    pub connection_limit: u32,
    /// Region of the server.
    pub region: String,
    /// Number of requests that the server runs at the same time.
    pub slot_count: u32,
}

const fn default_connection_limit() -> u32 {
    330
}
