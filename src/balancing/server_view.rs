//! What an entry VM knows of a backend server.

/// What an entry VM knows of a backend server when it picks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerView<'a> {
    /// When the server became ready after its last start, while it is still
    /// cold.
    pub cold_since_ms: Option<u64>,
    /// Whether the server takes no new work.
    pub draining: bool,
    /// Whether the server is in this VM's availability zone.
    pub same_zone: bool,
    /// Requests that this VM has in flight on the server.
    pub own_in_flight_requests: u32,
    /// When the load was reported.
    pub reported_at_ms: u64,
    /// Share of its slots that the server last reported as busy, in permille;
    /// above 1000 when requests wait there.
    pub reported_load_permille: Option<u32>,
    /// Whether the server is in this VM's region.
    pub same_region: bool,
    /// Id of the server.
    pub server_id: &'a str,
    /// Requests that the server runs at a time.
    pub slot_count: u32,
    /// Share of its normal work that the server should get, in permille; 0
    /// means none.
    pub weight_permille: u32,
}
