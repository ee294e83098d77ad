//! Servers of a service, as tracked by the detector.

use crate::bundle;
use crate::health;

/// Minimum number of servers in each region for grouping the servers by region.
const GROUP_SERVERS_MIN: usize = 3;

/// Servers of a service by id.
pub(super) type Servers = indexmap::IndexMap<String, health::server_tracker::ServerTracker>;

/// Creates the trackers of a service's servers, grouped by region because the
/// network path to another region adds latency. All servers form one group if
/// any region has too few servers to compare.
pub(super) fn from_service(service: &bundle::Service) -> Servers {
    let mut regions: indexmap::IndexMap<&str, usize> = indexmap::IndexMap::new();
    for server in service.servers.values() {
        *regions.entry(&server.region).or_default() += 1;
    }
    let is_split_by_region = regions.values().all(|count| *count >= GROUP_SERVERS_MIN);
    service
        .servers
        .iter()
        .map(|(server_id, server)| {
            let region = regions.get_index_of(server.region.as_str());
            let group = region.filter(|_| is_split_by_region).unwrap_or(0);
            let tracker = health::server_tracker::ServerTracker::new(server_id, group);
            (server_id.clone(), tracker)
        })
        .collect()
}

/// Applies the states of the servers that are up. Servers that are down, cold
/// or draining are not evaluated.
pub(super) fn apply_states(servers: &mut Servers, states: &[health::ServerState]) {
    for state in states {
        if !servers.contains_key(&state.server_id) {
            let tracker = health::server_tracker::ServerTracker::new(&state.server_id, 0);
            servers.insert(state.server_id.clone(), tracker);
        }
    }
    for tracker in servers.values_mut() {
        let is_evaluated = states
            .iter()
            .any(|state| state.is_capacity() && state.server_id == tracker.summary.server_id);
        if is_evaluated && !tracker.is_evaluated {
            tracker.reset();
        }
        tracker.is_evaluated = is_evaluated;
    }
}
