//! Evaluates the evidence about each server and moves servers between service,
//! ejection and probation.

use std::mem;
use std::net;

use crate::configs;
use crate::health;

/// Time that a server spends on each weight of its probation.
const PROBATION_STEP_MS: u64 = 1_000;
/// Time after which an ejection request without a response is repeated.
const RESPONSE_TIMEOUT_MS: u64 = 300;
/// Number of outcomes of a group after which the references of its servers are
/// refreshed.
const REFRESH_OUTCOMES: u32 = 32;
/// Score of all VMs' outcomes together, in thousandths of a nat, from which
/// each VM sends its summary at once.
const URGENT_FLEET_MILLI: i64 = 4_000;

/// Evaluates the evidence about each server of a service and moves servers
/// between service, ejection and probation.
pub(super) struct Evaluator {
    pub(super) config: configs::health::HealthConfig,
    group_outcomes: indexmap::IndexMap<usize, u32>,
    /// Whether a summary of another entry VM arrived within
    /// `summary_max_age_ms`.
    pub(super) has_peers: bool,
    /// Whether the next summary is to be sent early.
    is_urgent: bool,
    pub(super) now_ms: u64,
    random: rand::rngs::SmallRng,
    pub(super) servers: health::servers::Servers,
    pub(super) thresholds: health::Thresholds,
    /// Outcomes with all servers, summed over all entry VMs.
    pub(super) totals: health::counts::Counts,
}

impl Evaluator {
    pub(super) fn new(
        config: &configs::health::HealthConfig,
        servers: health::servers::Servers,
        thresholds: health::Thresholds,
        random: rand::rngs::SmallRng,
    ) -> Self {
        Self {
            config: config.clone(),
            group_outcomes: indexmap::IndexMap::new(),
            has_peers: false,
            is_urgent: false,
            now_ms: 0,
            random,
            servers,
            thresholds,
            totals: health::counts::Counts::default(),
        }
    }

    /// Returns whether an urgent summary is due, and resets the flag.
    pub(super) fn take_urgent(&mut self) -> bool {
        mem::take(&mut self.is_urgent)
    }

    /// Returns the next time at which a server's phase may change; `None` if no
    /// change is scheduled.
    pub(super) fn next_due_ms(&self) -> Option<u64> {
        let due_ms = |tracker| self.phase_due_ms(tracker);
        self.servers.values().filter_map(due_ms).min()
    }

    fn phase_due_ms(&self, tracker: &health::server_tracker::ServerTracker) -> Option<u64> {
        match tracker.phase {
            health::phase::Phase::Ejected {
                readmit_ms,
                until_ms,
            } => {
                let renewal_ms = until_ms.saturating_sub(self.config.grant_max_ms / 2);
                let request_ms = renewal_ms.max(tracker.request_after_ms);
                Some(request_ms.min(until_ms).min(readmit_ms))
            }
            health::phase::Phase::InService => {
                let is_above_threshold =
                    tracker.fleet_test.value_milli() >= self.thresholds.eject_milli();
                is_above_threshold.then_some(tracker.request_after_ms.max(self.now_ms + 1))
            }
            health::phase::Phase::Probation { since_ms, .. } => {
                Some(since_ms.saturating_add(PROBATION_STEP_MS))
            }
        }
    }

    /// Counts an outcome and refreshes the group's references when due.
    pub(super) fn count_group_outcome(&mut self, group: usize) {
        let count = self.group_outcomes.entry(group).or_default();
        *count += 1;
        if *count >= REFRESH_OUTCOMES {
            *count = 0;
            health::comparison::refresh_references(&mut self.servers, group);
        }
    }

    /// Adds the score of a VM's outcomes to the server's evidence and assesses
    /// the server. `from` is `None` for this VM.
    pub(super) fn add_evidence(
        &mut self,
        index: usize,
        from: Option<net::SocketAddr>,
        score: &health::score::Score,
    ) -> Vec<health::DetectorAction> {
        if !self.servers[index].is_evaluated || self.servers[index].is_ejected() {
            return Vec::new();
        }
        let may_begin = self.servers[index].window.is_none() && score.is_suspicious();
        let window = may_begin.then(|| self.new_window());
        self.servers[index].add_evidence(self.now_ms, from, score, window);
        if score.is_suspicious()
            && self.servers[index].fleet_test.value_milli() >= URGENT_FLEET_MILLI
        {
            self.is_urgent = true;
        }
        self.assess(index)
    }

    fn new_window(&self) -> health::evidence_window::EvidenceWindow {
        let counts = self.servers.values().map(|tracker| tracker.counts);
        health::evidence_window::EvidenceWindow::new(counts.collect(), self.totals)
    }

    /// Requests an ejection because another VM has ejected the server. That VM no
    /// longer sends requests to the server, so it adds no further evidence. Does
    /// nothing if this VM's own outcomes with the server are healthy.
    pub(super) fn follow_peer_ejection(&mut self, index: usize) -> Vec<health::DetectorAction> {
        let eject_milli = self.thresholds.eject_milli();
        let tracker = &mut self.servers[index];
        let window = tracker.window.as_ref();
        let is_healthy_here =
            window.is_some_and(health::evidence_window::EvidenceWindow::is_healthy_here);
        if !tracker.is_evaluated || tracker.is_ejected() || tracker.is_path_fault || is_healthy_here
        {
            return Vec::new();
        }
        tracker.fleet_test.raise_to(eject_milli);
        self.request_ejection_if_due(index)
    }

    /// Finds the likely fault and adjusts the weight, or requests an ejection.
    fn assess(&mut self, index: usize) -> Vec<health::DetectorAction> {
        let tracker = &self.servers[index];
        let suspicion_milli = tracker
            .fleet_test
            .value_milli()
            .max(tracker.local_test.value_milli());
        if suspicion_milli < self.thresholds.steer_milli() {
            return self.set_weight(index, health::fault::Fault::Unclear);
        }
        let fault = health::comparison::find_fault(
            &self.servers,
            index,
            &self.thresholds,
            self.has_peers,
            self.totals,
        );
        if fault == health::fault::Fault::Common {
            return self.restart_comparison(index);
        }
        let mut actions = self.update_path_fault(index, fault);
        actions.extend(self.set_weight(index, fault));
        if fault == health::fault::Fault::Server {
            actions.extend(self.request_ejection_if_due(index));
        }
        actions
    }

    /// Discards the evidence and the references of the group. All of its
    /// servers changed together, so earlier outcomes no longer show what is
    /// normal.
    fn restart_comparison(&mut self, index: usize) -> Vec<health::DetectorAction> {
        let group = self.servers[index].group;
        let mut actions = Vec::new();
        for index in 0..self.servers.len() {
            let tracker = &mut self.servers[index];
            if tracker.group == group && !tracker.is_ejected() {
                tracker.reset();
                tracker.reference = None;
                actions.extend(self.set_weight(index, health::fault::Fault::Common));
            }
        }
        actions
    }

    /// Records whether this VM observes a path fault, and reports the fault when it
    /// begins.
    fn update_path_fault(
        &mut self,
        index: usize,
        fault: health::fault::Fault,
    ) -> Vec<health::DetectorAction> {
        let steer_milli = self.thresholds.steer_milli();
        let tracker = &mut self.servers[index];
        let is_seen_here = tracker.local_test.value_milli() >= steer_milli;
        let was_path_fault = tracker.is_path_fault;
        tracker.is_path_fault = fault == health::fault::Fault::Path && is_seen_here;
        if was_path_fault || !tracker.is_path_fault {
            return Vec::new();
        }
        let server_id = tracker.summary.server_id.clone();
        vec![health::DetectorAction::PathFault { server_id }]
    }

    fn request_ejection_if_due(&mut self, index: usize) -> Vec<health::DetectorAction> {
        let now_ms = self.now_ms;
        let eject_milli = self.thresholds.eject_milli();
        let tracker = &mut self.servers[index];
        if tracker.fleet_test.value_milli() < eject_milli || now_ms < tracker.request_after_ms {
            return Vec::new();
        }
        tracker.request_after_ms = now_ms.saturating_add(RESPONSE_TIMEOUT_MS);
        vec![health::DetectorAction::RequestEjection {
            evidence: tracker.evidence(),
            server_id: tracker.summary.server_id.clone(),
        }]
    }

    fn set_weight(
        &mut self,
        index: usize,
        fault: health::fault::Fault,
    ) -> Vec<health::DetectorAction> {
        let weight_permille = health::weights::target_permille(
            &self.servers[index],
            fault,
            &self.thresholds,
            self.config.trickle_weight_permille,
        );
        let tracker = &mut self.servers[index];
        if tracker.weight_permille == weight_permille {
            return Vec::new();
        }
        tracker.weight_permille = weight_permille;
        vec![health::DetectorAction::SetWeight {
            server_id: tracker.summary.server_id.clone(),
            weight_permille,
        }]
    }

    pub(super) fn eject(&mut self, server_id: &str, until_ms: u64) -> Vec<health::DetectorAction> {
        let Some(index) = self.servers.get_index_of(server_id) else {
            return Vec::new();
        };
        let readmit_ms = match self.servers[index].phase {
            health::phase::Phase::Ejected { readmit_ms, .. } => readmit_ms,
            _ => self.servers[index].begin_ejection(self.now_ms, &self.config, &mut self.random),
        };
        self.is_urgent = true;
        let tracker = &mut self.servers[index];
        tracker.request_after_ms = self.now_ms;
        tracker.last_ejected_ms = self.now_ms;
        tracker.phase = health::phase::Phase::Ejected {
            readmit_ms,
            until_ms,
        };
        self.set_weight(index, health::fault::Fault::Server)
    }

    pub(super) fn end_ejection(&mut self, server_id: &str) -> Vec<health::DetectorAction> {
        let Some(index) = self.servers.get_index_of(server_id) else {
            return Vec::new();
        };
        if !self.servers[index].is_ejected() {
            return Vec::new();
        }
        self.servers[index].phase = health::phase::Phase::InService;
        self.set_weight(index, health::fault::Fault::Server)
    }

    /// Discards the evidence after a quarantined request crashed the server.
    pub(super) fn discard_evidence(&mut self, server_id: &str) -> Vec<health::DetectorAction> {
        let Some(index) = self.servers.get_index_of(server_id) else {
            return Vec::new();
        };
        self.servers[index].discard_evidence();
        self.set_weight(index, health::fault::Fault::Unclear)
    }

    pub(super) fn delay_request(&mut self, server_id: &str, retry_after_ms: u64) {
        let now_ms = self.now_ms;
        if let Some(tracker) = self.servers.get_mut(server_id) {
            tracker.request_after_ms = now_ms.saturating_add(retry_after_ms);
        }
    }

    pub(super) fn advance_phase(&mut self, index: usize) -> Vec<health::DetectorAction> {
        match self.servers[index].phase {
            health::phase::Phase::Ejected {
                readmit_ms,
                until_ms,
            } => self.advance_ejection(index, readmit_ms, until_ms),
            health::phase::Phase::InService => self.assess(index),
            health::phase::Phase::Probation { since_ms, step } => {
                self.advance_probation(index, since_ms, step)
            }
        }
    }

    fn advance_ejection(
        &mut self,
        index: usize,
        readmit_ms: u64,
        until_ms: u64,
    ) -> Vec<health::DetectorAction> {
        if self.now_ms >= readmit_ms {
            return self.readmit(index);
        }
        if self.now_ms >= until_ms {
            let server_id = self.servers[index].summary.server_id.clone();
            return self.end_ejection(&server_id);
        }
        if until_ms - self.now_ms <= self.config.grant_max_ms / 2 {
            return self.request_ejection_if_due(index);
        }
        Vec::new()
    }

    fn readmit(&mut self, index: usize) -> Vec<health::DetectorAction> {
        let tracker = &mut self.servers[index];
        tracker.begin_probation(self.now_ms);
        let server_id = tracker.summary.server_id.clone();
        let mut actions = vec![health::DetectorAction::Readmit { server_id }];
        actions.extend(self.set_weight(index, health::fault::Fault::Unclear));
        actions
    }

    fn advance_probation(
        &mut self,
        index: usize,
        since_ms: u64,
        step: usize,
    ) -> Vec<health::DetectorAction> {
        let is_over = self.now_ms >= since_ms.saturating_add(PROBATION_STEP_MS);
        let tracker = &mut self.servers[index];
        let is_suspected = tracker.fleet_test.value_milli() >= self.thresholds.steer_milli();
        if !is_over || is_suspected {
            return self.assess(index);
        }
        tracker.phase = if step >= health::weights::PROBATION_PERMILLE.len() {
            health::phase::Phase::InService
        } else {
            health::phase::Phase::Probation {
                since_ms: self.now_ms,
                step: step + 1,
            }
        };
        self.assess(index)
    }
}
