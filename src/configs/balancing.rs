//! Settings of load balancing.

/// Settings of load balancing between the backend servers of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BalancingConfig {
    /// Time over which the share of requests of a backend server rises to its
    /// full value after a cold start, in milliseconds.
    pub cold_ramp_ms: u64,
    /// Share of requests that a backend server gets right after a cold start,
    /// in permille of its full share.
    pub cold_start_permille: u32,
    /// Mean reported load of a service's servers at which entry VMs begin to
    /// request slots from its dispatcher, in permille of the slots. Below it,
    /// entry VMs pick a server themselves, unless a server has just shed a
    /// request. 0 means that they always use the dispatcher.
    pub dispatch_load_permille: u32,
    /// Time after a request's deadline at which a dispatcher reclaims a slot
    /// that was not returned, in milliseconds.
    pub grant_grace_ms: u64,
    /// Time after which an entry VM repeats its call for a request that is
    /// queued in a dispatcher, in milliseconds.
    pub grant_ask_again_ms: u64,
    /// Time without any response of a dispatcher after which an entry VM picks
    /// a backend server itself, in milliseconds.
    pub grant_timeout_ms: u64,
    /// Time for which an entry VM does not call a dispatcher that did not
    /// respond, in milliseconds.
    pub grant_pause_ms: u64,
    /// Time within which a request must be sent after its slot was granted, in
    /// milliseconds.
    pub grant_valid_ms: u64,
    /// Maximum number of requests queued in one dispatcher.
    pub grant_queue_requests: usize,
    /// Maximum age of a load report, in milliseconds. Older reports are ignored.
    pub load_report_max_age_ms: u64,
    /// Time for which a backend server that shed a request gets no requests, in
    /// milliseconds.
    pub shed_pause_ms: u64,
    /// Maximum rate of request and response bytes that one entry VM exchanges
    /// with other regions, per second.
    pub spill_bytes_per_s: u64,
    /// Number of backend servers of a service that one entry VM connects to; 0
    /// means all.
    pub subset_servers: usize,
}

impl Default for BalancingConfig {
    fn default() -> Self {
        Self {
            cold_ramp_ms: 10_000,
            cold_start_permille: 100,
            dispatch_load_permille: 500,
            grant_grace_ms: 1_000,
            grant_ask_again_ms: 100,
            grant_timeout_ms: 10,
            grant_pause_ms: 200,
            grant_valid_ms: 50,
            grant_queue_requests: 256,
            load_report_max_age_ms: 1_000,
            shed_pause_ms: 20,
            spill_bytes_per_s: 50_000,
            subset_servers: 0,
        }
    }
}
