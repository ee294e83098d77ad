//! What a VM shows on its operator port.

use crate::config_fold;

/// What a VM shows on its operator port.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmStatus {
    /// Availability zone that the VM is in.
    pub availability_zone: String,
    /// Offset of the roll-out in force; nothing before the first one.
    pub configuration_offset: Option<u64>,
    /// Version of the bundle in force; nothing before the first one.
    pub configuration_version: Option<String>,
    /// Counters by name.
    #[serde(default)]
    pub counters: indexmap::IndexMap<String, u64>,
    /// Backend servers that are out of service.
    #[serde(default)]
    pub ejections: Vec<Ejection>,
    /// Requests in flight.
    pub in_flight_requests: u64,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Whether the VM is about to go.
    pub leaving: bool,
    /// Region that the VM is in.
    pub region: String,
    /// Unique name of the VM.
    pub vm_id: String,
}

/// A backend server that is out of service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Ejection {
    /// Id of the server.
    pub server: String,
    /// Name of the service.
    pub service: String,
    /// Since when, in milliseconds of the VM's own clock.
    pub since_ms: u64,
}

/// Sums up what several VMs show.
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
