//! The servers that a pick chooses from.

use rand::Rng as _;

use crate::balancing;
use crate::balancing::ramp;
use crate::configs;

/// Draws the servers that a pick chooses from.
///
/// Servers that drain, are excluded or have no weight are left out. The
/// others take part with a probability equal to their weight, so that a cold
/// or suspected server gets a trickle of work under every picker. If the draw
/// leaves none, all of them take part.
pub(crate) fn sample(
    config: &configs::balancing::BalancingConfig,
    now_ms: u64,
    request: &balancing::PickRequest<'_>,
    servers: &[balancing::ServerView<'_>],
    random: &mut rand::rngs::SmallRng,
) -> Vec<usize> {
    let mut allowed = Vec::with_capacity(servers.len());
    let mut sampled = Vec::with_capacity(servers.len());
    for (index, server) in servers.iter().enumerate() {
        let weight_permille = ramp::ramped_weight_permille(
            config,
            now_ms,
            server.weight_permille,
            server.cold_since_ms,
        );
        if !accepts_work(request, server) || weight_permille == 0 {
            continue;
        }
        allowed.push(index);
        if weight_permille >= 1_000 || random.random_range(0..1_000) < weight_permille {
            sampled.push(index);
        }
    }
    if sampled.is_empty() { allowed } else { sampled }
}

/// Keeps this region's servers, unless all of them are full and the request
/// may spill to servers in other regions that are not.
pub(crate) fn restrict_to_region(
    request: &balancing::PickRequest<'_>,
    servers: &[balancing::ServerView<'_>],
    candidates: &mut Vec<usize>,
    is_full: impl Fn(&balancing::ServerView<'_>) -> bool,
) {
    let has_local = candidates.iter().any(|&index| servers[index].same_region);
    let all_local_full = candidates
        .iter()
        .filter(|&&index| servers[index].same_region)
        .all(|&index| is_full(&servers[index]));
    let has_remote_capacity = candidates
        .iter()
        .any(|&index| !servers[index].same_region && !is_full(&servers[index]));
    if request.may_spill && all_local_full && has_remote_capacity {
        candidates.retain(|&index| !servers[index].same_region && !is_full(&servers[index]));
    } else if has_local || !request.may_spill {
        candidates.retain(|&index| servers[index].same_region);
    }
}

fn accepts_work(request: &balancing::PickRequest<'_>, server: &balancing::ServerView<'_>) -> bool {
    !server.draining && server.slot_count > 0 && !request.excluded.contains(&server.server_id)
}
