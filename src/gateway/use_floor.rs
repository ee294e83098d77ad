//! Selection of the servers that must receive requests to keep the minimum share
//! of servers in use.

const PERMILLE: u64 = 1_000;
/// Share of a service's servers that are healthy, in thousandths, down to which the
/// minimum share holds whichever servers are left out.
const HEALTHY_PERMILLE: u64 = 500;

/// A server that can be chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct FloorCandidate {
    /// Whether the server received a request recently.
    pub is_used: bool,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Probability that the server is failing.
    pub suspicion: f64,
}

/// Returns the unused servers that must receive the next requests, so that
/// `share_permille` of all candidates are in use. Servers with the lowest suspicion
/// are selected first.
///
/// Load pattern: at any time, nearly a third of the servers fail for several
/// seconds, and suspicion excludes them for longer than they fail. If requests are
/// then suddenly lost for other reasons (entry VMs lose power, connections are
/// reset), too many healthy servers are unused.
#[must_use]
pub fn required_servers(candidates: &[FloorCandidate], share_permille: u64) -> Vec<u64> {
    let needed_count = (candidates.len() as u64 * share_permille.min(PERMILLE)).div_ceil(PERMILLE);
    let used_count = candidates
        .iter()
        .filter(|candidate| candidate.is_used)
        .count() as u64;
    let missing_count = needed_count.saturating_sub(used_count);
    if missing_count == 0 {
        return Vec::new();
    }
    let unused = candidates.iter().filter(|candidate| !candidate.is_used);
    let mut unused: Vec<FloorCandidate> = unused.copied().collect();
    unused.sort_by(|a, b| a.suspicion.total_cmp(&b.suspicion));
    unused.truncate(usize::try_from(missing_count).unwrap_or(usize::MAX));
    unused
        .into_iter()
        .map(|candidate| candidate.incarnation)
        .collect()
}

/// Returns the share of a degraded service's servers that must be in use so that
/// `min_share_permille` of its healthy servers are in use, both in thousandths.
///
/// Load pattern: more than a tenth of the requests fail, and the healthy servers
/// are not known. Even if all servers that are left out are healthy ones, they are a
/// small enough part of the healthy servers. Using the other servers as well would
/// cost more failures, which keep the service degraded.
#[must_use]
pub const fn degraded_share_permille(min_share_permille: u64) -> u64 {
    let unused_permille = PERMILLE.saturating_sub(min_share_permille) * HEALTHY_PERMILLE / PERMILLE;
    PERMILLE - unused_permille
}
