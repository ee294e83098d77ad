//! Server of a system with its address and location.

use std::net;

/// Server of a system with its address and location.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedServer {
    /// Address of the server.
    pub address: net::SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: String,
    /// Maximum number of connections that the server accepts in total.
    pub connection_limit: u32,
    /// Mean run time of a request, in milliseconds.
    pub mean_work_ms: f64,
    /// Name of the server.
    pub name: String,
    /// Region of the server.
    pub region: String,
    /// Name of the service.
    pub service: String,
    /// Number of requests that run at a time.
    pub slot_count: u32,
}
