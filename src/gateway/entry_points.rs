//! Selection of the entry VMs that callers are sent to.

use std::net;

use crate::balancing;
use crate::configs;
use crate::gateway;

/// Number of large VMs below which the large VMs of a zone or region do not suffice.
const MIN_LARGE_VMS: usize = 2;
/// Maximum number of entry points of a zone that are chosen by size.
const MAX_SIZED_ENTRY_POINTS: usize = 64;

/// An entry VM that can be returned to callers as an entry point.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address on which the VM accepts requests of callers.
    pub caller_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Resources of the VM as far as known.
    pub resources: gateway::VmResources,
}

/// Returns the entry VMs for callers of a zone, ordered by rendezvous rank.
///
/// Only a share of the VMs of a zone serves its callers, so that each of these
/// VMs sees enough requests to assess the health of the servers and keeps fewer
/// connections. Callers of a zone without VMs get VMs of their region, or of any
/// region if theirs has none.
///
/// Where `has_downloads`, callers get the VMs with large links instead, because the
/// small links of the other VMs would delay large responses.
#[must_use]
pub fn choose<'a>(
    config: &configs::GatewayConfig,
    vms: &'a [EntryVm],
    has_downloads: bool,
    availability_zone: &str,
    region: &str,
) -> Vec<&'a EntryVm> {
    if has_downloads && let Some(chosen) = choose_by_size(vms, availability_zone, region) {
        return chosen;
    }
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
    candidates.sort_by_cached_key(|vm| rank_key(vm, availability_zone));
    candidates.truncate(count);
    candidates
}

/// Returns the entry VMs with large links for callers of a zone; `None` if no VM's link
/// is known.
///
/// Large are the VMs with at least half of the largest link of the region. Those of the
/// zone are returned; if there are fewer than two, those of the region's other zones
/// are added. If the region has fewer than two, the zone's VMs are returned, the
/// largest first, up to the bandwidth of two large VMs. The choice depends only on the
/// members and their resources, so that all VMs make the same one.
fn choose_by_size<'a>(
    vms: &'a [EntryVm],
    availability_zone: &str,
    region: &str,
) -> Option<Vec<&'a EntryVm>> {
    let links = vms.iter().map(|vm| vm.resources.link_kbit_per_s);
    let smallest_kbit = links.filter(|kbit| *kbit > 0).min()?;
    let link_kbit = |vm: &EntryVm| vm.resources.link_kbit_per_s.max(smallest_kbit);
    let is_in_zone = |vm: &EntryVm| vm.availability_zone == availability_zone;
    let mut reachable: Vec<&EntryVm> = vms.iter().filter(|vm| vm.region == region).collect();
    if reachable.is_empty() {
        reachable = vms.iter().collect();
    }
    let largest_kbit = reachable.iter().map(|vm| link_kbit(vm)).max()?;
    let large = reachable.iter().copied();
    let large = large.filter(|vm| link_kbit(vm) >= largest_kbit.div_ceil(2));
    let mut large: Vec<&EntryVm> = large.collect();
    if large.len() >= MIN_LARGE_VMS {
        let in_zone_count = large.iter().filter(|vm| is_in_zone(vm)).count();
        if in_zone_count >= MIN_LARGE_VMS {
            large.retain(|vm| is_in_zone(vm));
        }
        large.sort_by_cached_key(|vm| (!is_in_zone(vm), rank_key(vm, availability_zone)));
        large.truncate(MAX_SIZED_ENTRY_POINTS);
        return Some(large);
    }
    if reachable.iter().any(|vm| is_in_zone(vm)) {
        reachable.retain(|vm| is_in_zone(vm));
    }
    reachable.sort_by_cached_key(|vm| {
        let missing_kbit = largest_kbit - link_kbit(vm);
        (missing_kbit, rank_key(vm, availability_zone))
    });
    let wanted_kbit = largest_kbit.saturating_mul(MIN_LARGE_VMS as u64);
    let mut chosen_kbit: u64 = 0;
    let chosen = reachable.into_iter().take(MAX_SIZED_ENTRY_POINTS);
    let chosen = chosen.take_while(|vm| {
        let is_wanted = chosen_kbit < wanted_kbit;
        chosen_kbit = chosen_kbit.saturating_add(link_kbit(vm));
        is_wanted
    });
    Some(chosen.collect())
}

/// Returns a sort key that orders VMs by their rendezvous rank for a zone.
fn rank_key(vm: &EntryVm, availability_zone: &str) -> (u64, String) {
    let name = vm.caller_address.to_string();
    let rank = balancing::rendezvous::rank(availability_zone, &name);
    (u64::MAX - rank, name)
}

/// Returns the caller addresses that are advertised in any availability zone of
/// `region`, or of all regions if `None`.
#[must_use]
pub fn advertised(
    config: &configs::GatewayConfig,
    vms: &[EntryVm],
    has_downloads: bool,
    region: Option<&str>,
) -> indexmap::IndexSet<net::SocketAddr> {
    let zones: indexmap::IndexSet<(&str, &str)> = vms
        .iter()
        .filter(|vm| region.is_none_or(|region| vm.region == region))
        .map(|vm| (vm.availability_zone.as_str(), vm.region.as_str()))
        .collect();
    let chosen = zones
        .iter()
        .flat_map(|(zone, region)| choose(config, vms, has_downloads, zone, region));
    chosen.map(|vm| vm.caller_address).collect()
}
