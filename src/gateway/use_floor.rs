//! Selection of the servers that must receive requests to keep the minimum share
//! of servers in use.

const PERMILLE: u64 = 1_000;

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
