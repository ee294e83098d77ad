//! Detector state of one server.

use std::net;

use rand::Rng as _;

use crate::configs;
use crate::health;

/// Weight, in permille, of a server that receives its full share.
pub(super) const FULL_PERMILLE: u32 = 1_000;

/// Lower bound of the change of a score sum since the last summary, in
/// thousandths of a nat. Without it, many normal outcomes that were not sent yet
/// would offset the first outcomes of a fault. In the sequential test of a single
/// VM this cannot happen, because its sum never falls below zero.
const UNSENT_MIN_MILLI: i64 = -1_500;
/// Maximum number of doublings of the back-off of a flapping server.
const BACKOFF_DOUBLINGS_MAX: u32 = 20;

/// Detector state of one server.
pub(super) struct ServerTracker {
    /// Earliest time of the next ejection request.
    pub(super) request_after_ms: u64,
    /// Outcomes with this server, over all entry VMs.
    pub(super) counts: health::counts::Counts,
    /// Number of successive ejections, each within `flap_memory_ms` of the previous
    /// one. It determines the back-off.
    pub(super) ejection_count: u32,
    pub(super) failures: health::failure_rate::FailureRate,
    /// Test of the outcomes of all entry VMs.
    pub(super) fleet_test: health::sequential_test::SequentialTest,
    /// Group of servers that are compared with each other.
    pub(super) group: usize,
    /// Whether the server is up, warm and not draining.
    pub(super) is_evaluated: bool,
    /// Whether the fault is attributed to this VM's path to the server.
    pub(super) is_path_fault: bool,
    pub(super) last_ejected_ms: u64,
    pub(super) latencies: health::latency_histogram::LatencyHistogram,
    /// Test of this VM's own outcomes.
    pub(super) local_test: health::sequential_test::SequentialTest,
    /// Current summary of the server, from this VM's own outcomes.
    pub(super) summary: health::ServerSummary,
    pub(super) phase: health::phase::Phase,
    /// Outcomes of the group's other servers; `None` while they are too few.
    pub(super) reference: Option<health::reference::Reference>,
    /// Open evidence window; `None` while the fleet test is at zero.
    pub(super) window: Option<health::evidence_window::EvidenceWindow>,
    /// Last summary of the server that was sent.
    pub(super) sent_summary: health::ServerSummary,
    pub(super) weight_permille: u32,
}

impl ServerTracker {
    pub(super) fn new(server_id: &str, group: usize) -> Self {
        let summary = health::ServerSummary {
            server_id: server_id.to_owned(),
            ..health::ServerSummary::default()
        };
        Self {
            request_after_ms: 0,
            counts: health::counts::Counts::default(),
            ejection_count: 0,
            failures: health::failure_rate::FailureRate::default(),
            fleet_test: health::sequential_test::SequentialTest::default(),
            group,
            is_evaluated: true,
            is_path_fault: false,
            last_ejected_ms: 0,
            latencies: health::latency_histogram::LatencyHistogram::new(),
            local_test: health::sequential_test::SequentialTest::default(),
            sent_summary: summary.clone(),
            summary,
            phase: health::phase::Phase::InService,
            reference: None,
            window: None,
            weight_permille: FULL_PERMILLE,
        }
    }

    /// Returns whether the server's outcomes count towards the reference of the
    /// other servers.
    pub(super) fn is_reference(&self) -> bool {
        self.is_evaluated
            && self.phase == health::phase::Phase::InService
            && self.weight_permille == FULL_PERMILLE
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.phase, health::phase::Phase::Ejected { .. })
    }

    /// Records an outcome for the reference of the other servers.
    pub(super) fn record_outcome(&mut self, kind: health::OutcomeKind, latency_us: u64) {
        let is_answered = kind == health::OutcomeKind::Answered;
        self.failures.add(!is_answered);
        if is_answered {
            self.latencies.add(latency_us);
        }
    }

    /// Adds an outcome of this VM to the sums that it reports. When an
    /// anomalous outcome arrives while the local test is at zero, normal
    /// outcomes that have not been sent yet are dropped, because they precede
    /// the fault.
    pub(super) fn add_to_summary(&mut self, score: &health::score::Score) {
        if score.is_suspicious() && self.local_test.value_milli() == 0 {
            let is_ejected = self.summary.is_ejected;
            self.summary = self.sent_summary.clone();
            self.summary.is_ejected = is_ejected;
        }
        let (summary, sent) = (&mut self.summary, &self.sent_summary);
        summary.failed_count += score.failed_count;
        summary.outcome_count += score.outcome_count;
        summary.slow_count += score.slow_count;
        summary.failure_sum_milli = (summary.failure_sum_milli + score.failure_milli)
            .max(sent.failure_sum_milli + UNSENT_MIN_MILLI);
        summary.latency_sum_milli = (summary.latency_sum_milli + score.latency_milli)
            .max(sent.latency_sum_milli + UNSENT_MIN_MILLI);
    }

    /// Adds the score of a VM's outcomes to the evidence. `window` is the
    /// evidence window that begins if none is open.
    pub(super) fn add_evidence(
        &mut self,
        now_ms: u64,
        from: Option<net::SocketAddr>,
        score: &health::score::Score,
        window: Option<health::evidence_window::EvidenceWindow>,
    ) {
        self.counts.add(score);
        self.fleet_test.add(now_ms, self.incident_ms(), score);
        if self.fleet_test.value_milli() == 0 {
            self.window = None;
            return;
        }
        if self.window.is_none() {
            self.window = window;
        }
        if let Some(window) = &mut self.window {
            window.add(from, score);
        }
    }

    /// Returns the time within which anomalous outcomes count as one incident.
    pub(super) fn incident_ms(&self) -> u64 {
        let least_ms = health::reference::INCIDENT_MIN_MS;
        self.reference
            .map_or(least_ms, |reference| reference.incident_ms())
    }

    /// Discards the evidence against the server.
    pub(super) fn discard_evidence(&mut self) {
        self.fleet_test = health::sequential_test::SequentialTest::default();
        self.local_test = health::sequential_test::SequentialTest::default();
        self.window = None;
    }

    /// Discards the evidence, the latencies and the failure rate, which a
    /// restart of the server makes obsolete.
    pub(super) fn reset(&mut self) {
        self.discard_evidence();
        self.failures = health::failure_rate::FailureRate::default();
        self.latencies.clear();
    }

    /// Begins an ejection and returns when the server is to be readmitted. The
    /// ejection time doubles with each ejection. Jitter of up to a tenth keeps
    /// the entry VMs from readmitting the server all at once.
    pub(super) fn begin_ejection(
        &mut self,
        now_ms: u64,
        config: &configs::health::HealthConfig,
        random: &mut rand::rngs::SmallRng,
    ) -> u64 {
        let since_ejection_ms = now_ms.saturating_sub(self.last_ejected_ms);
        if since_ejection_ms > config.flap_memory_ms {
            self.ejection_count = 0;
        }
        let doublings = self.ejection_count.min(BACKOFF_DOUBLINGS_MAX);
        self.ejection_count += 1;
        let length_ms = config
            .ejection_base_ms
            .saturating_mul(1 << doublings)
            .min(config.ejection_max_ms);
        let jitter_ms = random.random_range(0..=length_ms / 10);
        now_ms.saturating_add(length_ms + jitter_ms)
    }

    /// Begins the probation after an ejection.
    pub(super) fn begin_probation(&mut self, now_ms: u64) {
        self.reset();
        self.phase = health::phase::Phase::Probation {
            since_ms: now_ms,
            step: 0,
        };
    }

    pub(super) fn evidence(&self) -> health::Evidence {
        let counts = self.window.as_ref().map_or_else(
            health::counts::Counts::default,
            health::evidence_window::EvidenceWindow::counts,
        );
        let vm_count = self
            .window
            .as_ref()
            .map_or(0, health::evidence_window::EvidenceWindow::vm_count);
        health::Evidence {
            failed_count: counts.failed,
            failure_score_milli: self.fleet_test.failure_milli(),
            latency_score_milli: self.fleet_test.latency_milli(),
            outcome_count: counts.outcomes,
            slow_count: counts.slow,
            vm_count: u32::try_from(vm_count).unwrap_or(u32::MAX),
        }
    }
}
