//! The status that operators and their tool read.

/// The status of one entry VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmStatus {
    /// Its availability zone.
    pub availability_zone: String,
    /// Offset of the roll-out in force.
    pub configuration_offset: Option<u64>,
    /// Version of the bundle in force.
    pub configuration_version: Option<String>,
    /// Counters by name.
    pub counters: indexmap::IndexMap<String, u64>,
    /// Servers out of service as this VM sees it.
    pub ejections: Vec<EjectionStatus>,
    /// Requests in flight.
    pub in_flight_requests: u64,
    /// Changes with each start of the daemon.
    pub incarnation: u64,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// Its region.
    pub region: String,
    /// Its name.
    pub vm_id: String,
}

/// A server out of service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EjectionStatus {
    /// The server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// How long it has been out of service, in milliseconds.
    pub since_ms: u64,
}
