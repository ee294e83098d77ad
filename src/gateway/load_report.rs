//! Load reports between the entry VMs of a region.

/// Report of a VM's requests to the other entry VMs of its region.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// Load of the servers that the VM uses.
    pub servers: Vec<ServerLoad>,
    /// Outcomes for the services whose requests began or failed since the last
    /// report.
    pub services: Vec<ServiceOutcomes>,
}

/// Load that one VM puts on one incarnation of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServerLoad {
    /// Requests of the VM in flight on the server.
    pub in_flight: u32,
    /// Incarnation of the server.
    #[serde(rename = "lifetime")]
    pub incarnation: u64,
    /// Requests sent since the last report.
    pub sent_count: u32,
    /// Requests since the last report that the server completed without failure and
    /// not unusually slowly.
    pub success_count: u32,
}

/// Outcomes of one VM's requests for one service since its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceOutcomes {
    /// Requests that began.
    pub begun_count: u32,
    /// Hash of the service's name.
    pub service_hash: u64,
    /// Requests whose callers got no response without server error.
    pub unserved_count: u32,
}

impl LoadReport {
    /// Returns whether the report contains no servers and no services.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.services.is_empty()
    }
}
