//! Settings of a latency measurement.

use std::net;

/// Settings of a latency measurement.
#[derive(Clone, Debug)]
pub struct LatencySettings {
    /// Numbers of requests in flight; each is combined with each work time.
    pub concurrency: Vec<u32>,
    /// Caller address of the home of keyed orders.
    pub home: net::SocketAddr,
    /// Address of the backend server for lookups.
    pub lookup_server: net::SocketAddr,
    /// Address of the backend server for orders.
    pub order_server: net::SocketAddr,
    /// Caller address of an entry VM that forwards keyed orders to their home.
    pub other: net::SocketAddr,
    /// Number of requests of each case in a round.
    pub request_count: u64,
    /// Number of rounds; each runs every case once.
    pub round_count: usize,
    /// Times that the server takes for a request, in milliseconds; each is combined
    /// with each concurrency.
    pub work_ms: Vec<u64>,
}
