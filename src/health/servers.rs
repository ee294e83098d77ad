//! The servers of a service, as the detector sees them.

use crate::bundle;
use crate::health;

/// Servers in a region without which all regions form one group.
const GROUP_SERVERS_MIN: usize = 3;

/// The servers of a service by id.
pub(super) type Servers = indexmap::IndexMap<String, health::server_track::ServerTrack>;

/// Groups the servers by region, since the way to another region takes time
/// of its own; in one group if a region has too few to compare.
pub(super) fn from_service(service: &bundle::Service) -> Servers {
    let mut regions: indexmap::IndexMap<&str, usize> = indexmap::IndexMap::new();
    for server in service.servers.values() {
        *regions.entry(&server.region).or_default() += 1;
    }
    let is_split = regions.values().all(|count| *count >= GROUP_SERVERS_MIN);
    service
        .servers
        .iter()
        .map(|(server_id, server)| {
            let region = regions.get_index_of(server.region.as_str());
            let group = region.filter(|_| is_split).unwrap_or(0);
            let track = health::server_track::ServerTrack::new(server_id, group);
            (server_id.clone(), track)
        })
        .collect()
}

/// Applies the states of the servers that are up. The others are not judged.
pub(super) fn change_states(servers: &mut Servers, states: &[health::ServerState]) {
    for state in states {
        if !servers.contains_key(&state.server_id) {
            let track = health::server_track::ServerTrack::new(&state.server_id, 0);
            servers.insert(state.server_id.clone(), track);
        }
    }
    for track in servers.values_mut() {
        let is_judged = states
            .iter()
            .any(|state| state.is_capacity() && state.server_id == track.own.server_id);
        if is_judged && !track.is_judged {
            track.reset();
        }
        track.is_judged = is_judged;
    }
}
