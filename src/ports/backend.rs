//! One incarnation of a backend server.

use std::net;

use xxhash_rust::xxh3;

use crate::ports;

/// One incarnation of a backend server, as registered in the store: one run of
/// its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: String,
    /// Unix time at which the server started, in milliseconds. A restart under
    /// the same id is another incarnation.
    pub born_unix_ms: u64,
    /// Id of the server, which stays the same across restarts.
    pub id: String,
    /// Region of the server.
    pub region: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Maximum number of requests that the server runs at the same time.
    pub slot_count: u32,
    /// Whether the server accepts new requests.
    pub state: ports::BackendState,
    /// Time for which the server remains slow after its start, in milliseconds.
    pub warmup_left_ms: u64,
}

impl Backend {
    /// Returns the hash that identifies this incarnation in messages between
    /// VMs.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.born_unix_ms)
    }
}
