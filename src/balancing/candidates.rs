//! Candidate servers of a pick.

use rand::Rng as _;

use crate::balancing;
use crate::balancing::ramp;
use crate::configs;

/// Samples the candidate servers of a pick and returns their indices.
///
/// Servers that are draining, excluded or have weight 0 are never candidates.
/// Every other server is sampled with a probability equal to its weight, so
/// that a cold or suspected server receives a small share of requests under
/// every picker. If the sample is empty, all servers that may be sampled are
/// candidates.
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

/// Restricts the candidates to the servers of this region.
///
/// A request that may spill is an exception. If all candidates of this region
/// are full and a candidate of another region is not, only candidates of other
/// regions that are not full are kept. If this region has no candidate and all
/// candidates of other regions are full, every candidate is kept.
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
