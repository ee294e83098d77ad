//! Selection of the entry VMs that callers are sent to.

use std::net;

use crate::balancing;
use crate::configs;

/// An entry VM that can be returned to callers as an entry point.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address on which the VM accepts requests of callers.
    pub caller_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
}

/// Returns the entry VMs for callers of a zone, ordered by rendezvous rank.
///
/// Only a share of the VMs of a zone serves its callers, so that each of these
/// VMs sees enough requests to assess the health of the servers and keeps fewer
/// connections. Callers of a zone without VMs get VMs of their region, or of any
/// region if theirs has none.
#[must_use]
pub fn choose<'a>(
    config: &configs::GatewayConfig,
    vms: &'a [EntryVm],
    availability_zone: &str,
    region: &str,
) -> Vec<&'a EntryVm> {
    let in_zone: Vec<&EntryVm> = vms
        .iter()
        .filter(|vm| vm.availability_zone == availability_zone)
        .collect();
    let in_region: Vec<&EntryVm> = vms.iter().filter(|vm| vm.region == region).collect();
    let mut candidates = if !in_zone.is_empty() {
        in_zone
    } else if !in_region.is_empty() {
        in_region
    } else {
        vms.iter().collect()
    };
    let share = candidates.len() * config.entry_vm_share_percent / 100;
    let count = share.max(config.entry_vm_min_count);
    candidates.sort_by_cached_key(|vm| {
        let name = vm.caller_address.to_string();
        (
            u64::MAX - balancing::rendezvous::rank(availability_zone, &name),
            name,
        )
    });
    candidates.truncate(count);
    candidates
}

/// Returns the caller addresses that are advertised in any availability zone of
/// `region`, or of all regions if `None`.
#[must_use]
pub fn advertised(
    config: &configs::GatewayConfig,
    vms: &[EntryVm],
    region: Option<&str>,
) -> indexmap::IndexSet<net::SocketAddr> {
    let zones: indexmap::IndexSet<(&str, &str)> = vms
        .iter()
        .filter(|vm| region.is_none_or(|region| vm.region == region))
        .map(|vm| (vm.availability_zone.as_str(), vm.region.as_str()))
        .collect();
    let chosen = zones
        .iter()
        .flat_map(|(zone, region)| choose(config, vms, zone, region));
    chosen.map(|vm| vm.caller_address).collect()
}
