//! Which servers must get a request though others are better.

/// Thousandths in candidate.
const PERMILLE: u64 = 1_000;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct FloorCandidate {
    /// Whether it got a request of late.
    pub is_used: bool,
    /// Names its incarnation.
    pub incarnation: u64,
    /// Probability that it is failing.
    pub suspicion: f64,
}

/// Gives the unused servers that must be used next: the least suspect ones, so
/// many that a share of all of them is in use.
///
/// Load pattern: at any time nearly a third of the servers fail for several
/// seconds, and suspicion would leave them out for longer than they fail. Then
/// a sudden loss of requests elsewhere (entry VMs without power, connections
/// reset) finds too many sound servers without work.
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
