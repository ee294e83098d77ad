//! Backend server as seen by a picker.

/// State of a backend server that an entry VM uses to pick one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerView<'a> {
    /// Time at which the server became ready after its last start; `None` when
    /// the server has warmed up.
    pub cold_since_ms: Option<u64>,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Whether the server is in this VM's availability zone.
    pub same_zone: bool,
    /// Number of requests that this VM has in flight on the server.
    pub own_in_flight_requests: u32,
    /// Time at which the load was last reported, in milliseconds of this VM's
    /// clock.
    pub reported_at_ms: u64,
    /// Load in the last report of the server, in permille of its slots; `None`
    /// before the first report. Above 1000 when requests are queued on the server.
    pub reported_load_permille: Option<u32>,
    /// Whether the server is in this VM's region.
    pub same_region: bool,
    /// Id of the server.
    pub server_id: &'a str,
    /// Number of requests that the server runs concurrently.
    pub slot_count: u32,
    /// Share of its normal work that the server should receive, in permille; 0
    /// excludes the server.
    pub weight_permille: u32,
}
