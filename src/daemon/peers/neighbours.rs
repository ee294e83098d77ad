//! Neighbours of this entry VM: the entry points returned to callers, and the
//! candidates for the witness.

use std::sync;
use std::time;

use futures::future;

use crate::balancing;
use crate::daemon;
use crate::peer;

/// Number of neighbours that are queried for their key prefixes.
const NEIGHBOUR_COUNT: usize = 6;
/// Time limit of a query to a neighbour.
const NEIGHBOUR_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Returns the peer addresses of the neighbours to query: entry VMs of the
/// region, half of them in other availability zones. Rendezvous hashing on
/// `vm_id` distributes the queries of all VMs evenly.
#[must_use]
pub fn choose(
    vm_id: &str,
    availability_zone: &str,
    region: &str,
    entry_vms: &[&daemon::EntryVm],
) -> Vec<std::net::SocketAddr> {
    let is_alone_in_region = entry_vms.iter().all(|vm| vm.region != region);
    // A VM that is alone in its region uses neighbours, and so a witness, from
    // other regions.
    let candidates = || {
        let vms = entry_vms.iter();
        vms.filter(move |vm| is_alone_in_region || vm.region == region)
    };
    let same_zone = candidates().filter(|vm| vm.availability_zone == availability_zone);
    let other_zones = candidates().filter(|vm| vm.availability_zone != availability_zone);
    let same_zone_ids: Vec<&str> = same_zone.map(|vm| vm.vm_id.as_str()).collect();
    let other_zone_ids: Vec<&str> = other_zones.map(|vm| vm.vm_id.as_str()).collect();
    let mut chosen = balancing::rendezvous::top(vm_id, &other_zone_ids, NEIGHBOUR_COUNT / 2);
    let remaining = NEIGHBOUR_COUNT - chosen.len();
    chosen.extend(balancing::rendezvous::top(vm_id, &same_zone_ids, remaining));
    candidates()
        .filter(|vm| chosen.contains(&vm.vm_id.as_str()))
        .map(|vm| vm.peer_address)
        .collect()
}

/// Queries neighbours for their key prefixes and returns the replies that
/// arrive in time.
pub async fn query_key_prefixes(
    peers: peer::PeerClients,
    addresses: Vec<std::net::SocketAddr>,
) -> Vec<peer::KeyPrefixReply> {
    let calls = addresses.into_iter().map(|address| {
        let peers = peers.clone();
        async move {
            peers
                .call(address, NEIGHBOUR_TIMEOUT, async |client, context| {
                    client.key_prefix(context).await
                })
                .await
        }
    });
    future::join_all(calls)
        .await
        .into_iter()
        .filter_map(|reply| reply.ok().flatten())
        .collect()
}

/// Returns the neighbour to use as the witness for new keys. A neighbour in
/// another availability zone is preferred. Returns `None` if no neighbour
/// accepts callers.
#[must_use]
pub fn choose_witness<'a>(
    availability_zone: &str,
    neighbours: &'a [peer::KeyPrefixReply],
) -> Option<&'a peer::KeyPrefixReply> {
    let accepting = || neighbours.iter().filter(|reply| reply.takes_callers);
    accepting()
        .find(|reply| reply.availability_zone != availability_zone)
        .or_else(|| accepting().next())
}

/// Returns the entry points for callers: the neighbours that accept callers.
#[must_use]
pub fn entry_points(
    neighbours: &[peer::KeyPrefixReply],
    lifetime_ms: u64,
) -> Vec<daemon::EntryPoint> {
    neighbours
        .iter()
        .filter(|reply| reply.takes_callers)
        .map(|reply| daemon::EntryPoint {
            address: reply.caller_address,
            availability_zone: reply.availability_zone.clone(),
            key_prefix: reply.key_prefix.clone(),
            lifetime_ms,
        })
        .collect()
}

/// Starts a query of the neighbours. The replies arrive as one control event.
pub fn start_query(
    control: &daemon::ControlSender,
    peers: &peer::PeerClients,
    addresses: Vec<std::net::SocketAddr>,
) {
    let control = sync::Arc::clone(control);
    let peers = peers.clone();
    tokio::spawn(async move {
        let replies = query_key_prefixes(peers, addresses).await;
        let event = daemon::ControlEvent::NeighboursQueried(replies);
        let _ = control.send(event).await;
    });
}
