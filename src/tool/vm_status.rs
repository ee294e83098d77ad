//! Status of a VM, read from its operator port.

use crate::config_fold;

/// Status of a VM, read from its operator port.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmStatus {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Offset of the roll-out in force; `None` before the first roll-out.
    pub configuration_offset: Option<u64>,
    /// Version of the bundle in force; `None` before the first roll-out.
    pub configuration_version: Option<String>,
    /// Counters by name.
    #[serde(default)]
    pub counters: indexmap::IndexMap<String, u64>,
    /// Backend servers that are ejected.
    #[serde(default)]
    pub ejections: Vec<Ejection>,
    /// Number of requests in flight.
    pub in_flight_requests: u64,
    /// Incarnation: a number that grows with every start of the VM's daemon.
    pub incarnation: u64,
    /// Whether the VM is being shut down.
    pub leaving: bool,
    /// Region of the VM.
    pub region: String,
    /// Unique id of the VM.
    pub vm_id: String,
}

/// Ejected backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Ejection {
    /// Id of the server.
    pub server: String,
    /// Name of the service.
    pub service: String,
    /// Time since the ejection, in milliseconds.
    pub since_ms: u64,
}

/// Summarises the statuses of several VMs.
#[must_use]
pub fn summarise(statuses: &[VmStatus]) -> config_fold::FleetState {
    let versions = statuses
        .iter()
        .filter_map(|status| status.configuration_version.clone());
    let ejected = statuses
        .iter()
        .flat_map(|status| &status.ejections)
        .map(|ejection| format!("{}/{}", ejection.service, ejection.server));
    config_fold::FleetState {
        configuration_versions: sorted_unique(versions),
        ejected_servers: sorted_unique(ejected),
        vm_count: statuses.len(),
    }
}

fn sorted_unique(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut names: indexmap::IndexSet<String> = names.collect();
    names.sort();
    names.into_iter().collect()
}
