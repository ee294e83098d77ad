//! Which entry VMs callers are told to use.

use std::net;

use crate::balancing;
use crate::configs;

/// An entry VM that may be named to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Its region.
    pub region: String,
}

/// Gives the entry VMs for callers of a zone, by rank.
///
/// Few VMs of each zone carry its requests, so that each of them sees enough
/// work to judge the servers by, and keeps fewer connections. Callers of a
/// zone without VMs are given the region's, then any.
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
