//! Arguments of `measure-latency`.

use std::net;

use crate::measure;

/// Measures the latency that daemons add to requests, compared with direct calls
/// of the same backend server in the same run.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct LatencyArgs {
    /// Prints this help.
    pub help: bool,
    /// Caller address of the entry VM that is the home of keyed orders.
    #[options(no_short, meta = "IP:PORT")]
    pub home: Option<net::SocketAddr>,
    /// Address of the backend server for orders.
    #[options(no_short, meta = "IP:PORT")]
    pub order_server: Option<net::SocketAddr>,
    /// Caller address of an entry VM that forwards keyed orders to their home.
    #[options(no_short, meta = "IP:PORT")]
    pub other: Option<net::SocketAddr>,
    /// Address of the backend server for lookups.
    #[options(no_short, meta = "IP:PORT")]
    pub lookup_server: Option<net::SocketAddr>,
    /// Number of rounds; each runs every case once.
    #[options(no_short, meta = "N", default = "3")]
    pub rounds: usize,
    /// Number of requests of each case in a round.
    #[options(no_short, meta = "N", default = "1000")]
    pub requests: u64,
    /// Time that the server takes for a request, in milliseconds; may be repeated.
    #[options(no_short, meta = "MS")]
    pub work_ms: Vec<u64>,
    /// Number of requests in flight; may be repeated.
    #[options(no_short, meta = "N")]
    pub concurrency: Vec<u32>,
}

impl LatencyArgs {
    /// Converts the arguments to settings.
    ///
    /// # Errors
    ///
    /// Returns a message with the name of the missing address.
    pub fn settings(&self) -> Result<measure::LatencySettings, String> {
        let required = |address: Option<net::SocketAddr>, name: &str| {
            address.ok_or_else(|| format!("--{name} is missing"))
        };
        Ok(measure::LatencySettings {
            concurrency: self.concurrency.clone(),
            home: required(self.home, "home")?,
            lookup_server: required(self.lookup_server, "lookup-server")?,
            order_server: required(self.order_server, "order-server")?,
            other: required(self.other, "other")?,
            request_count: self.requests,
            round_count: self.rounds,
            work_ms: self.work_ms.clone(),
        })
    }
}
