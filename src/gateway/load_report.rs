//! What one VM tells the others of its region about its requests.

/// What one VM tells the others of its region about its requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// Servers that it uses.
    pub servers: Vec<ServerLoad>,
    /// Services whose requests have ended since the last report.
    pub services: Vec<ServiceOutcomes>,
}

/// One VM's use of one incarnation of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Names the incarnation.
    #[serde(rename = "lifetime")]
    pub incarnation: u64,
    /// Requests sent since the last report.
    pub sent_count: u32,
    /// Good answers since the last report.
    pub success_count: u32,
}

/// How one VM's requests for one service have ended since its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceOutcomes {
    /// Requests whose callers got a good answer.
    pub served_count: u32,
    /// Hash of the service's name.
    pub service_hash: u64,
    /// Requests whose callers got none.
    pub unserved_count: u32,
}

impl LoadReport {
    /// Tells whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.services.is_empty()
    }
}
