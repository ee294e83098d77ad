//! Summary of the fleet's state.

/// Summary of the fleet's state, compared before and after a rehearsal.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetState {
    /// Distinct configuration versions in use by the VMs, sorted.
    pub configuration_versions: Vec<String>,
    /// Distinct ejected servers as `service/server`, sorted.
    pub ejected_servers: Vec<String>,
    /// Number of VMs that responded.
    pub vm_count: usize,
}
