//! Status of an entry VM, as returned on the operator port.

/// Status of one entry VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmStatus {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Log offset of the roll-out in force, or `None` without a configuration.
    pub configuration_offset: Option<u64>,
    /// Version of the bundle in force, or `None` without a configuration.
    pub configuration_version: Option<String>,
    /// Values of all counters, by name.
    pub counters: indexmap::IndexMap<String, u64>,
    /// Backend servers that this VM has ejected.
    pub ejections: Vec<EjectionStatus>,
    /// Number of requests in flight.
    pub in_flight_requests: u64,
    /// Incarnation of the daemon process; each start has a different one.
    pub incarnation: u64,
    /// Whether the VM is leaving the fleet.
    pub leaving: bool,
    /// Region of the VM.
    pub region: String,
    /// Id of the VM.
    pub vm_id: String,
}

/// Ejection of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EjectionStatus {
    /// Id of the server.
    pub server: String,
    /// Name of the server's service.
    pub service: String,
    /// Time since the server was ejected, in milliseconds.
    pub since_ms: u64,
}
