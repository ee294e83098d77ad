//! Selection of the servers that must receive requests to keep the minimum share
//! of servers in use.

/// Least number of servers among which the VMs choose. They would send their requests to
/// the same ones, as each hears of the others' requests only with the next load report.
const MIN_CHOICE_COUNT: usize = 5;
/// Load reports in the time of [`RequiredUse::recent_request_count`], rounded down.
const REPORTS_PER_RECENT_TIME: usize = 8;
const PERMILLE: u64 = 1_000;

/// A server that can be chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct FloorCandidate {
    /// Whether the server received a request recently.
    pub is_used: bool,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// When the server registered, in milliseconds.
    pub registered_ms: u64,
    /// Probability that the server is failing.
    pub suspicion: f64,
}

/// How much of a service must be in use.
#[derive(Clone, Copy, Debug)]
pub struct RequiredUse {
    /// Whether so many requests fail that all servers are to be used.
    pub is_degraded: bool,
    /// Requests that the servers got in the last two seconds, about.
    pub recent_request_count: usize,
    /// Share of the servers to be kept in use while the service is not degraded.
    pub share_permille: u64,
}

/// Returns the unused servers that must receive the next requests, so that the required
/// share of all candidates is in use. Servers with the lowest suspicion are selected
/// first, and if the service is degraded, those of them that registered first.
///
/// Load pattern: at any time, nearly a third of the servers fail for several
/// seconds, and suspicion excludes them for longer than they fail. If requests are
/// then suddenly lost for other reasons (entry VMs lose power, connections are
/// reset), too many healthy servers are unused.
///
/// Load pattern: a degraded service gets fewer requests than it has servers, most of
/// which have just joined. Not all of them can be used, and the servers that have
/// served before must not go without requests for those that have yet to prove
/// themselves.
#[must_use]
pub fn required_servers(candidates: &[FloorCandidate], required: RequiredUse) -> Vec<u64> {
    let share_permille = if required.is_degraded {
        PERMILLE
    } else {
        required.share_permille
    };
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
    if required.is_degraded {
        let max_count = required.recent_request_count / REPORTS_PER_RECENT_TIME;
        unused.sort_by_key(|candidate| candidate.registered_ms);
        unused.truncate(max_count.max(MIN_CHOICE_COUNT));
    }
    unused
        .into_iter()
        .map(|candidate| candidate.incarnation)
        .collect()
}
