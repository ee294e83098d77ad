//! Settings of admission control.

/// Settings of admission control.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Share of `in_flight_requests` and `in_flight_bytes` in use up to which
    /// bulk requests are admitted, in percent.
    pub bulk_share_percent: u32,
    /// Maximum size of all request bodies that the VM holds at the same time,
    /// in bytes.
    pub in_flight_bytes: u64,
    /// Maximum number of requests that the VM has in flight.
    pub in_flight_requests: u32,
    /// Minimum time to the deadline when a request starts, in percent of its
    /// expected run time.
    pub least_time_left_percent: u32,
    /// Share of `in_flight_requests` and `in_flight_bytes` in use up to which
    /// normal requests are admitted, in percent. The remainder is reserved for
    /// critical requests.
    pub normal_share_percent: u32,
    /// Maximum number of organisations whose usage is tracked.
    pub organisation_count: usize,
    /// Slots of a service that each VM may use beyond its equal share, in
    /// percent of that share.
    pub overcommit_percent: u32,
    /// Maximum retry-after time in a refusal, in milliseconds.
    pub retry_after_max_ms: u64,
    /// Minimum retry-after time in a refusal, in milliseconds.
    pub retry_after_min_ms: u64,
    /// Rate at which refused callers are scheduled to retry, in percent of the
    /// rate at which the service completes requests.
    pub retry_after_rate_percent: u32,
    /// Maximum number of unused retries that a service accumulates.
    pub retry_burst_requests: u32,
    /// Retries per second that a service may make regardless of its request
    /// rate.
    pub retry_min_per_s: u32,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            bulk_share_percent: 50,
            in_flight_bytes: 64 * 1_048_576,
            in_flight_requests: 1_024,
            least_time_left_percent: 150,
            normal_share_percent: 85,
            organisation_count: 131_072,
            overcommit_percent: 200,
            retry_after_max_ms: 120_000,
            retry_after_min_ms: 100,
            retry_after_rate_percent: 25,
            retry_burst_requests: 20,
            retry_min_per_s: 1,
        }
    }
}
