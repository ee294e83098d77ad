//! Evaluates the backend servers of one service by the outcomes of real
//! requests.

use std::net;

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::bundle;
use crate::configs;
use crate::health;
use crate::state_machine;

/// Score, in thousandths of a nat, from which this VM's own outcomes make a
/// summary urgent and from which an urgent summary covers a server.
const URGENT_LOCAL_MILLI: i64 = 2_000;

/// Evaluates the backend servers of one service by the outcomes of real
/// requests, both this entry VM's own and those that other entry VMs report.
///
/// Outcomes are compared with those of the other servers in the same region.
/// The detector reduces the traffic to a suspected server at once. It requests
/// an ejection when the evidence of all entry VMs together reaches the
/// threshold and points to the server itself, not to a network path or to a
/// cause that all servers share.
pub struct Detector {
    incarnation: u64,
    evaluator: health::evaluator::Evaluator,
    own_totals: health::counts::Counts,
    peers: health::peers::Peers,
    schedule: health::summary_schedule::SummarySchedule,
    sequence: u64,
}

impl Detector {
    /// Creates a detector without observations.
    #[must_use]
    pub fn new(
        config: &configs::health::HealthConfig,
        service: &bundle::Service,
        seed: u64,
    ) -> Self {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let incarnation = random.random();
        let servers = health::servers::from_service(service);
        let thresholds = health::Thresholds::for_weight(service.false_ejection_weight);
        Self {
            incarnation,
            evaluator: health::evaluator::Evaluator::new(config, servers, thresholds, random),
            own_totals: health::counts::Counts::default(),
            peers: health::peers::Peers::default(),
            schedule: health::summary_schedule::SummarySchedule::new(config),
            sequence: 0,
        }
    }

    /// Returns the share of its usual traffic that the server is to receive, in
    /// permille. An unknown server receives its full share.
    #[must_use]
    pub fn weight_permille(&self, server_id: &str) -> u32 {
        self.evaluator
            .servers
            .get(server_id)
            .map_or(health::server_tracker::FULL_PERMILLE, |tracker| {
                tracker.weight_permille
            })
    }

    /// Returns when the next [`health::DetectorEvent::Tick`] is due.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let phases_ms = self.evaluator.next_due_ms();
        let summary_ms = self.schedule.next_due_ms();
        phases_ms.into_iter().chain([summary_ms]).min()
    }

    /// Returns the scores at which the detector acts.
    #[must_use]
    pub fn thresholds(&self) -> health::Thresholds {
        self.evaluator.thresholds
    }

    /// Returns the evidence against the server, or `None` for an unknown
    /// server.
    #[must_use]
    pub fn evidence(&self, server_id: &str) -> Option<health::Evidence> {
        Some(self.evaluator.servers.get(server_id)?.evidence())
    }

    fn record_outcome(&mut self, outcome: &health::Outcome) -> Vec<health::DetectorAction> {
        let servers = &mut self.evaluator.servers;
        let Some(index) = servers.get_index_of(&outcome.server_id) else {
            return Vec::new();
        };
        let tracker = &mut servers[index];
        if !tracker.is_evaluated {
            return Vec::new();
        }
        tracker.record_outcome(outcome.kind, outcome.latency_us);
        let group = tracker.group;
        self.evaluator.count_group_outcome(group);
        let now_ms = self.evaluator.now_ms;
        let tracker = &mut self.evaluator.servers[index];
        let Some(reference) = tracker.reference else {
            return Vec::new();
        };
        let tolerated_us = outcome.latency_us.saturating_mul(1_000)
            / self.evaluator.config.tolerated_slowdown_permille.max(1);
        let score = reference.score(outcome.kind, tolerated_us);
        tracker.add_to_summary(&score);
        tracker
            .local_test
            .add(now_ms, reference.incident_ms(), &score);
        if score.is_suspicious() && tracker.local_test.value_milli() >= URGENT_LOCAL_MILLI {
            self.schedule.mark_urgent();
        }
        let mut actions = self.evaluator.add_evidence(index, None, &score);
        self.own_totals.add(&score);
        self.evaluator.totals.add(&score);
        actions.extend(self.send_summary());
        actions
    }

    fn apply_summary(
        &mut self,
        from: net::SocketAddr,
        summary: &health::Summary,
    ) -> Vec<health::DetectorAction> {
        let servers = &self.evaluator.servers;
        let position = |server_id: &str| servers.get_index_of(server_id);
        let update = self
            .peers
            .apply(self.evaluator.now_ms, from, summary, position);
        self.evaluator.totals.merge(update.totals);
        let mut actions = Vec::new();
        for (index, score) in update.scores {
            actions.extend(self.evaluator.add_evidence(index, Some(from), &score));
        }
        for index in update.newly_ejected {
            actions.extend(self.evaluator.follow_peer_ejection(index));
        }
        actions.extend(self.send_summary());
        actions
    }

    fn eject(&mut self, server_id: &str, until_ms: u64) -> Vec<health::DetectorAction> {
        let mut actions = self.evaluator.eject(server_id, until_ms);
        actions.extend(self.send_summary());
        actions
    }

    /// Sends a summary if one is due and any covered server has changed since
    /// the last one.
    fn send_summary(&mut self) -> Vec<health::DetectorAction> {
        if self.evaluator.take_urgent() {
            self.schedule.mark_urgent();
        }
        let Some(scope) = self.schedule.take_due(self.evaluator.now_ms) else {
            return Vec::new();
        };
        let is_all = scope == health::summary_schedule::SummaryScope::All;
        let mut servers = Vec::new();
        for tracker in self.evaluator.servers.values_mut() {
            tracker.summary.is_ejected = tracker.is_ejected();
            let is_covered = is_all || tracker.fleet_test.value_milli() >= URGENT_LOCAL_MILLI;
            if is_covered && tracker.summary != tracker.sent_summary {
                tracker.sent_summary = tracker.summary.clone();
                servers.push(tracker.summary.clone());
            }
        }
        if servers.is_empty() {
            return Vec::new();
        }
        self.sequence += 1;
        let summary = health::Summary {
            incarnation: self.incarnation,
            sequence: self.sequence,
            servers,
            totals: self.own_totals.to_totals(),
        };
        vec![health::DetectorAction::SendSummary { summary }]
    }

    fn tick(&mut self) -> Vec<health::DetectorAction> {
        let mut actions = Vec::new();
        for index in 0..self.evaluator.servers.len() {
            actions.extend(self.evaluator.advance_phase(index));
        }
        actions.extend(self.send_summary());
        actions
    }
}

impl state_machine::StateMachine for Detector {
    type Action = health::DetectorAction;
    type Event = health::DetectorEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        let now_ms = now_ms.max(self.evaluator.now_ms);
        let since_ms = now_ms.saturating_sub(self.evaluator.config.summary_max_age_ms);
        self.evaluator.now_ms = now_ms;
        self.evaluator.has_peers = self.peers.has_received_since(since_ms);
        match event {
            health::DetectorEvent::EvidenceInvalidated { server_id } => {
                self.evaluator.discard_evidence(&server_id)
            }
            health::DetectorEvent::EjectionGranted {
                server_id,
                until_ms,
            } => self.eject(&server_id, until_ms),
            health::DetectorEvent::EjectionOver { server_id } => {
                self.evaluator.end_ejection(&server_id)
            }
            health::DetectorEvent::EjectionRefused {
                retry_after_ms,
                server_id,
            } => {
                self.evaluator.delay_request(&server_id, retry_after_ms);
                Vec::new()
            }
            health::DetectorEvent::Outcome(outcome) => self.record_outcome(&outcome),
            health::DetectorEvent::PeerSummary { from, summary } => {
                self.apply_summary(from, &summary)
            }
            health::DetectorEvent::ServersChanged { servers } => {
                health::servers::apply_states(&mut self.evaluator.servers, &servers);
                Vec::new()
            }
            health::DetectorEvent::Tick => self.tick(),
        }
    }
}
