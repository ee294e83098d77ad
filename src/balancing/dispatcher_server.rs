//! Backend server as seen by a dispatcher.

/// State of a backend server that a dispatcher uses to grant its slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatcherServer {
    /// Time at which the server became ready after its last start; `None` when
    /// the server has warmed up.
    pub cold_since_ms: Option<u64>,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Id of the server.
    pub server_id: String,
    /// Number of requests that the server runs concurrently.
    pub slot_count: u32,
    /// Share of its normal work that the server should receive, in permille; 0
    /// excludes the server.
    pub weight_permille: u32,
}
