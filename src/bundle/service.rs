//! Service: a group of interchangeable backend servers.

use crate::bundle;

/// Service: a group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Maximum total time of a request, in milliseconds. A caller may set a
    /// shorter deadline.
    pub deadline_ms: u64,
    /// Cost of a false ejection relative to the cost of one second of delay in
    /// detecting a failing server: with 0.0 servers are ejected fast, with 1.0
    /// only on overwhelming evidence.
    pub false_ejection_weight: f64,
    /// Minimum number of healthy backend servers that ejections must leave in
    /// service, over all entry VMs together.
    pub floor_servers: u32,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Priority of the service's requests when capacity is short.
    pub priority: bundle::Priority,
    /// Maximum number of queued requests of the service on each entry VM.
    pub queue_limit_requests: u32,
    /// Retry budget, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// Backend servers by id.
    pub servers: indexmap::IndexMap<String, bundle::BackendServer>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            deadline_ms: 2_000,
            false_ejection_weight: 0.5,
            floor_servers: 1,
            idempotent: false,
            max_body_bytes: 1_048_576,
            priority: bundle::Priority::Normal,
            queue_limit_requests: 64,
            retry_budget_percent: 10,
            servers: indexmap::IndexMap::new(),
        }
    }
}
