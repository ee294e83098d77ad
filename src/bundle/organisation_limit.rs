//! Request limits of an organisation.

/// Request limits of an organisation on each entry VM.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationLimit {
    /// Number of requests that may exceed the rate in a burst.
    pub burst_requests: u32,
    /// Maximum number of requests in flight.
    pub in_flight_requests: u32,
    /// Maximum sustained rate, in requests per second.
    pub rate_per_s: u32,
}

impl Default for OrganisationLimit {
    fn default() -> Self {
        Self {
            burst_requests: 200,
            in_flight_requests: 256,
            rate_per_s: 1_000,
        }
    }
}
