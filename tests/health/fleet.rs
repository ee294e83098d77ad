//! Detectors of several entry VMs that receive each other's summaries at once.

use std::net;

use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;

const STEP_MS: u64 = 10;
const SERVERS: [&str; 5] = ["s0", "s1", "s2", "s3", "s4"];

/// Returns how a request of a VM to a server ends, and its latency in
/// microseconds.
pub type Behaviour<'a> = &'a dyn Fn(usize, &str, u64) -> (health::OutcomeKind, u64);

pub struct Fleet {
    pub detectors: Vec<health::Detector>,
    pub events: Vec<String>,
    grants_requests: bool,
    now_ms: u64,
}

impl Fleet {
    pub fn new(vm_count: u64, false_ejection_weight: f64) -> Self {
        let config = configs::health::HealthConfig::default();
        let server = bundle::BackendServer {
            address: ([127, 0, 0, 1], 1).into(),
            availability_zone: String::from("kariakoo"),
            connection_limit: 330,
            region: String::from("pwani"),
            slot_count: 6,
        };
        let service = bundle::Service {
            false_ejection_weight,
            servers: SERVERS.map(|id| (id.to_owned(), server.clone())).into(),
            ..bundle::Service::default()
        };
        let detectors = (0..vm_count)
            .map(|seed| health::Detector::new(&config, &service, seed))
            .collect();
        Self {
            detectors,
            events: Vec::new(),
            grants_requests: false,
            now_ms: 0,
        }
    }

    /// Grants each requested ejection for two seconds.
    pub fn granting(mut self) -> Self {
        self.grants_requests = true;
        self
    }

    /// Makes each VM send each server a request every 50 ms.
    pub fn run(&mut self, span_ms: u64, behaviour: Behaviour) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let turn = usize::try_from(self.now_ms / STEP_MS).unwrap();
            for vm in 0..self.detectors.len() {
                let server_id = SERVERS[(turn + vm) % SERVERS.len()];
                self.handle(vm, health::DetectorEvent::Tick);
                if self.detectors[vm].weight_permille(server_id) == 0 {
                    continue;
                }
                let (kind, latency_us) = behaviour(vm, server_id, self.now_ms);
                let outcome = health::Outcome {
                    kind,
                    latency_us,
                    server_id: server_id.to_owned(),
                };
                self.handle(vm, health::DetectorEvent::Outcome(outcome));
            }
        }
    }

    pub fn handle(&mut self, vm: usize, event: health::DetectorEvent) {
        for action in self.detectors[vm].handle(self.now_ms, event) {
            self.apply_action(vm, action);
        }
    }

    fn apply_action(&mut self, vm: usize, action: health::DetectorAction) {
        let line = match action {
            health::DetectorAction::RequestEjection { server_id, .. } => {
                self.record(vm, &format!("requests ejection of {server_id:?}"));
                return self.grant(vm, server_id);
            }
            health::DetectorAction::PathFault { server_id } => {
                format!("path fault to {server_id:?}")
            }
            health::DetectorAction::Readmit { server_id } => format!("readmits {server_id:?}"),
            health::DetectorAction::SendSummary { summary } => return self.broadcast(vm, &summary),
            health::DetectorAction::SetWeight {
                server_id,
                weight_permille,
            } => format!("weight of {server_id:?} is {weight_permille}"),
        };
        self.record(vm, &line);
    }

    fn record(&mut self, vm: usize, line: &str) {
        self.events.push(format!("{} vm{vm} {line}", self.now_ms));
    }

    fn grant(&mut self, vm: usize, server_id: String) {
        if self.grants_requests {
            let until_ms = self.now_ms + 2_000;
            let event = health::DetectorEvent::EjectionGranted {
                server_id,
                until_ms,
            };
            self.handle(vm, event);
        }
    }

    /// Delivers a summary to every other VM, each time twice.
    fn broadcast(&mut self, vm: usize, summary: &health::Summary) {
        let from = net::SocketAddr::from(([127, 0, 0, 1], u16::try_from(vm + 1).unwrap()));
        for to in (0..self.detectors.len()).filter(|to| *to != vm) {
            for _ in 0..2 {
                let summary = summary.clone();
                self.handle(to, health::DetectorEvent::PeerSummary { from, summary });
            }
        }
    }

    pub fn ejection_request_count(&self) -> usize {
        let requests = self
            .events
            .iter()
            .filter(|event| event.contains("requests"));
        requests.count()
    }
}

/// Returns a response of a healthy server: 10 to 20 ms.
pub fn healthy(now_ms: u64) -> (health::OutcomeKind, u64) {
    let spread_us = now_ms * 7_919 % 10_000;
    (health::OutcomeKind::Answered, 10_000 + spread_us)
}
