//! Compares a server with the other servers of its group.

use crate::health;

/// Minimum number of outcomes of the other servers for attributing a fault to a
/// server.
const OTHERS_OUTCOMES_MIN: u64 = 5;
/// Largest anomalous share of the other servers' outcomes, in percent of the
/// server's own anomalous share, at which the fault is attributed to the
/// server.
const OTHERS_ANOMALOUS_MAX_PERCENT: u64 = 25;

/// Smallest anomalous share of the other servers' outcomes, in percent of the
/// server's own anomalous share, at which the fault is common to all.
const COMMON_FAULT_MIN_PERCENT: u64 = 50;
/// Smallest number of anomalous outcomes of the other servers at which the
/// fault is common to all.
const COMMON_FAULT_OUTCOMES_MIN: u64 = 4;

/// Recomputes the reference of each server of the group.
pub(super) fn refresh_references(servers: &mut health::servers::Servers, group: usize) {
    let pool = pool_group(servers, group);
    for tracker in servers
        .values_mut()
        .filter(|tracker| tracker.group == group)
    {
        tracker.reference = pool.reference_without(tracker);
    }
}

/// Pooled latencies and failures of the reference servers of a group.
struct Pool {
    failures: health::failure_rate::FailureRate,
    latencies: Vec<u64>,
}

impl Pool {
    /// Returns the reference for a server, without the server's own outcomes.
    fn reference_without(
        &self,
        tracker: &health::server_tracker::ServerTracker,
    ) -> Option<health::reference::Reference> {
        let mut latencies = self.latencies.clone();
        let mut failures = self.failures;
        if tracker.is_reference() {
            for (sum, count) in latencies.iter_mut().zip(tracker.latencies.counts()) {
                *sum -= u64::from(*count);
            }
            failures.failed_count -= tracker.failures.failed_count;
            failures.outcome_count -= tracker.failures.outcome_count;
        }
        health::reference::Reference::new(&latencies, failures)
    }
}

fn pool_group(servers: &health::servers::Servers, group: usize) -> Pool {
    let mut pool = Pool {
        failures: health::failure_rate::FailureRate::default(),
        latencies: vec![0; health::latency_histogram::BIN_COUNT],
    };
    let references = servers
        .values()
        .filter(|tracker| tracker.group == group && tracker.is_reference());
    for tracker in references {
        for (sum, count) in pool.latencies.iter_mut().zip(tracker.latencies.counts()) {
            *sum += u64::from(*count);
        }
        pool.failures.failed_count += tracker.failures.failed_count;
        pool.failures.outcome_count += tracker.failures.outcome_count;
    }
    pool
}

/// Returns the fault that the evidence about the server at `index` points to.
pub(super) fn find_fault(
    servers: &health::servers::Servers,
    index: usize,
    thresholds: &health::Thresholds,
    has_peers: bool,
    totals: health::counts::Counts,
) -> health::fault::Fault {
    let tracker = &servers[index];
    let Some(window) = &tracker.window else {
        return health::fault::Fault::Unclear;
    };
    if is_majority_suspected(servers, tracker.group, thresholds) {
        return health::fault::Fault::Common;
    }
    let kind = tracker.fleet_test.kind();
    match window.fault_scope(kind) {
        health::fault_scope::FaultScope::AllPaths => {}
        health::fault_scope::FaultScope::SomePaths => return health::fault::Fault::Path,
        health::fault_scope::FaultScope::Unknown => return health::fault::Fault::Unclear,
    }
    let counts = window.counts();
    let others = others_since_start(servers, window, thresholds, totals);
    if others.outcomes < OTHERS_OUTCOMES_MIN {
        return health::fault::Fault::Unclear;
    }
    let (own_anomalous, others_anomalous) = (counts.anomalous_of(kind), others.anomalous_of(kind));
    let share_percent =
        others_anomalous * counts.outcomes * 100 / (own_anomalous * others.outcomes).max(1);
    if others_anomalous >= COMMON_FAULT_OUTCOMES_MIN && share_percent >= COMMON_FAULT_MIN_PERCENT {
        return health::fault::Fault::Common;
    }
    if share_percent > OTHERS_ANOMALOUS_MAX_PERCENT {
        return health::fault::Fault::Unclear;
    }
    let is_confirmed = window.confirmed_milli() >= thresholds.eject_milli() / 4;
    if has_peers && !is_confirmed {
        return health::fault::Fault::Unclear;
    }
    health::fault::Fault::Server
}

/// Returns whether most of the group's servers, and at least two, are
/// suspected.
fn is_majority_suspected(
    servers: &health::servers::Servers,
    group: usize,
    thresholds: &health::Thresholds,
) -> bool {
    let in_group = servers
        .values()
        .filter(|tracker| tracker.group == group && tracker.is_evaluated && !tracker.is_ejected());
    let (mut evaluated_count, mut suspected_count) = (0, 0);
    for tracker in in_group {
        evaluated_count += 1;
        let value_milli = tracker.fleet_test.value_milli();
        suspected_count += usize::from(value_milli >= thresholds.steer_milli());
    }
    suspected_count > 1 && suspected_count * 2 > evaluated_count
}

/// Sums the outcomes since the window began of the servers that are not
/// suspected.
fn others_since_start(
    servers: &health::servers::Servers,
    window: &health::evidence_window::EvidenceWindow,
    thresholds: &health::Thresholds,
    totals: health::counts::Counts,
) -> health::counts::Counts {
    let mut suspected = health::counts::Counts::default();
    for (index, tracker) in servers.values().enumerate() {
        if tracker.fleet_test.value_milli() >= thresholds.steer_milli() {
            let earlier = window.servers_at_start.get(index).copied();
            suspected.merge(tracker.counts.since(earlier.unwrap_or_default()));
        }
    }
    totals.since(window.totals_at_start).since(suspected)
}
