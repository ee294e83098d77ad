//! Arguments of `measure-latency`.

use std::net;

use crate::measure;

/// Measures the time that daemons add to requests, against calling the same
/// backend server directly in the same run.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct LatencyArgs {
    /// Prints this help.
    pub help: bool,
    /// Caller address of the entry VM that is the home of keyed orders.
    #[options(no_short, meta = "IP:PORT")]
    pub home: Option<net::SocketAddr>,
    /// Backend server of the orders.
    #[options(no_short, meta = "IP:PORT")]
    pub order_server: Option<net::SocketAddr>,
    /// Caller address of the entry VM that sends keyed orders on to their home.
    #[options(no_short, meta = "IP:PORT")]
    pub other: Option<net::SocketAddr>,
    /// Backend server of the lookups.
    #[options(no_short, meta = "IP:PORT")]
    pub lookup_server: Option<net::SocketAddr>,
    /// Rounds; each round runs every case once.
    #[options(no_short, meta = "N", default = "3")]
    pub rounds: usize,
    /// Requests of each case in a round.
    #[options(no_short, meta = "N", default = "1000")]
    pub requests: u64,
    /// Time the server works on a request, in milliseconds; may be given many
    /// times.
    #[options(no_short, meta = "MS")]
    pub work_ms: Vec<u64>,
    /// Requests in flight at a time; may be given many times.
    #[options(no_short, meta = "N")]
    pub concurrency: Vec<u32>,
}

impl LatencyArgs {
    /// Gives the settings that these arguments ask for.
    ///
    /// # Errors
    ///
    /// Names the address that is missing.
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
