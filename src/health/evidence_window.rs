//! Outcomes with one server since it became suspected.

use std::net;

use crate::health;

/// Minimum number of outcomes for a VM's view to count as healthy.
const HEALTHY_VIEW_OUTCOMES_MIN: u64 = 3;
/// Smallest share of anomalous outcomes, in percent, in the view of a VM whose
/// path to the server may be faulty.
const FAILING_VIEW_MIN_PERCENT: u64 = 70;
/// Largest share of anomalous outcomes, in percent, in a healthy view.
const HEALTHY_VIEW_MAX_PERCENT: u64 = 10;
/// Minimum share of VMs without anomalous outcomes, in percent, for a fault of
/// some paths. Below it, all VMs count as observing the fault.
const ANOMALY_FREE_VIEWS_MIN_PERCENT: usize = 20;
/// Smallest share of all anomalous outcomes, in percent, that failing views
/// hold if paths are at fault.
const FAILING_VIEWS_MIN_PERCENT: u64 = 50;
/// Assumed share of anomalous outcomes over a faulty path.
const FAULTY_PATH_ANOMALOUS_SHARE: f64 = 0.95;
/// Assumed share of anomalous outcomes over a healthy path.
const HEALTHY_PATH_ANOMALOUS_SHARE: f64 = 0.03;
/// Absolute log-likelihood ratio from which the fault is attributed to the
/// server or to some paths.
const SCOPE_DECISION_NATS: f64 = 2.0;

/// Outcomes with one server since it became suspected, by the entry VM that
/// observed them. The address `None` stands for this VM.
pub(super) struct EvidenceWindow {
    /// Counts of every server of the service when the window began, by
    /// position.
    pub(super) servers_at_start: Vec<health::counts::Counts>,
    /// Counts of all servers together when the window began.
    pub(super) totals_at_start: health::counts::Counts,
    views: indexmap::IndexMap<Option<net::SocketAddr>, View>,
}

/// Outcomes that one VM observed.
#[derive(Clone, Copy, Default)]
struct View {
    counts: health::counts::Counts,
    score_milli: i64,
}

impl View {
    fn is_failing(&self, kind: health::counts::AnomalyKind) -> bool {
        let anomalous = self.counts.anomalous_of(kind);
        anomalous > 0 && anomalous * 100 >= self.counts.outcomes * FAILING_VIEW_MIN_PERCENT
    }

    fn is_anomaly_free(&self, kind: health::counts::AnomalyKind) -> bool {
        self.counts.outcomes > 0 && self.counts.anomalous_of(kind) == 0
    }

    /// Returns the likelihood of the view, given the share of anomalous
    /// outcomes.
    fn likelihood(&self, kind: health::counts::AnomalyKind, anomalous_share: f64) -> f64 {
        let anomalous = self.counts.anomalous_of(kind);
        let normal = self.counts.outcomes.saturating_sub(anomalous);
        anomalous_share.powf(to_f64(anomalous)) * (1.0 - anomalous_share).powf(to_f64(normal))
    }

    fn is_healthy(&self) -> bool {
        let counts = self.counts;
        counts.outcomes >= HEALTHY_VIEW_OUTCOMES_MIN
            && counts.anomalous() * 100 <= counts.outcomes * HEALTHY_VIEW_MAX_PERCENT
    }
}

impl EvidenceWindow {
    pub(super) fn new(
        servers_at_start: Vec<health::counts::Counts>,
        totals_at_start: health::counts::Counts,
    ) -> Self {
        Self {
            servers_at_start,
            totals_at_start,
            views: indexmap::IndexMap::new(),
        }
    }

    pub(super) fn add(&mut self, from: Option<net::SocketAddr>, score: &health::score::Score) {
        let view = self.views.entry(from).or_default();
        view.counts.add(score);
        view.score_milli += score.failure_milli.max(score.latency_milli);
    }

    pub(super) fn counts(&self) -> health::counts::Counts {
        let mut counts = health::counts::Counts::default();
        for view in self.views.values() {
            counts.merge(view.counts);
        }
        counts
    }

    pub(super) fn vm_count(&self) -> usize {
        self.views.len()
    }

    /// Returns the score without the contribution of the VM that added most.
    pub(super) fn confirmed_milli(&self) -> i64 {
        let scores = self.views.values().map(|view| view.score_milli.max(0));
        let largest = scores.clone().max().unwrap_or(0);
        scores.sum::<i64>() - largest
    }

    /// Returns whether this VM's own view of the server is healthy.
    pub(super) fn is_healthy_here(&self) -> bool {
        self.views.get(&None).is_some_and(View::is_healthy)
    }

    /// Returns whether all VMs observe the fault. Compares the likelihood that
    /// one share of anomalous outcomes holds for all VMs with that of a mix of
    /// healthy and faulty paths. A VM with a single outcome carries almost no
    /// information about this.
    pub(super) fn fault_scope(
        &self,
        kind: health::counts::AnomalyKind,
    ) -> health::fault_scope::FaultScope {
        let anomaly_free_count = self
            .views
            .values()
            .filter(|view| view.is_anomaly_free(kind))
            .count();
        let failing_views = self.views.values().filter(|view| view.is_failing(kind));
        let anomalous_in_failing_views: u64 = failing_views
            .map(|view| view.counts.anomalous_of(kind))
            .sum();
        let is_mixed = anomalous_in_failing_views * 100
            < self.counts().anomalous_of(kind) * FAILING_VIEWS_MIN_PERCENT;
        if is_mixed || anomaly_free_count * 100 < self.views.len() * ANOMALY_FREE_VIEWS_MIN_PERCENT
        {
            return health::fault_scope::FaultScope::AllPaths;
        }
        let ratio = self.server_fault_log_ratio(kind);
        if ratio >= SCOPE_DECISION_NATS {
            health::fault_scope::FaultScope::AllPaths
        } else if ratio <= -SCOPE_DECISION_NATS {
            health::fault_scope::FaultScope::SomePaths
        } else {
            health::fault_scope::FaultScope::Unknown
        }
    }

    /// Returns the log-likelihood ratio, in nats, of a fault of the server over
    /// a fault of some paths.
    fn server_fault_log_ratio(&self, kind: health::counts::AnomalyKind) -> f64 {
        let counts = self.counts();
        let share = share(counts.anomalous_of(kind), counts.outcomes);
        let failing_count = self
            .views
            .values()
            .filter(|view| view.is_failing(kind))
            .count();
        let faulty_path_share = count_share(failing_count, self.views.len());
        self.views
            .values()
            .map(|view| {
                let healthy_path =
                    view.likelihood(kind, HEALTHY_PATH_ANOMALOUS_SHARE) * (1.0 - faulty_path_share);
                let faulty_path =
                    view.likelihood(kind, FAULTY_PATH_ANOMALOUS_SHARE) * faulty_path_share;
                let paths = (healthy_path + faulty_path).max(f64::MIN_POSITIVE);
                view.likelihood(kind, share).max(f64::MIN_POSITIVE).ln() - paths.ln()
            })
            .sum()
    }
}

fn count_share(part: usize, total: usize) -> f64 {
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    share(part, u64::try_from(total).unwrap_or(u64::MAX))
}

/// Returns `part / total`, limited to 0.02 to 0.98.
fn share(part: u64, total: u64) -> f64 {
    (to_f64(part) / to_f64(total.max(1))).clamp(0.02, 0.98)
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
