//! One incarnation of a backend server.

use std::net;

use xxhash_rust::xxh3;

use crate::ports;

/// One incarnation of a backend server, as the registry shows it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Backend {
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Unix time of its start in milliseconds: a restart under the same id is
    /// another incarnation.
    pub born_unix_ms: u64,
    /// Its id.
    pub id: String,
    /// Its region.
    pub region: String,
    /// The service it belongs to.
    pub service: String,
    /// Requests that it runs at a time.
    pub slot_count: u32,
    /// Whether it takes new work.
    pub state: ports::BackendState,
    /// How long it stays slow after its start, in milliseconds.
    pub warmup_left_ms: u64,
}

impl Backend {
    /// Gives a hash that names this incarnation in messages between VMs.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.born_unix_ms)
    }
}
