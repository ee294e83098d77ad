//! The gateway's own ejection policy.

use std::net;

use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;

use crate::policy;
use crate::shape;

/// The gateway's own ejection policy: its detector and ejection holder.
pub struct SequentialPolicy {
    detector: health::Detector,
    holder: health::EjectionHolder,
    server_ids: indexmap::IndexSet<String>,
    weights_permille: Vec<u32>,
}

impl SequentialPolicy {
    pub fn new(shape: &shape::Shape, seed: u64) -> Self {
        let config = configs::health::HealthConfig::default();
        Self {
            detector: health::Detector::new(&config, &shape.service(), seed),
            holder: health::EjectionHolder::new(),
            server_ids: shape.server_ids().into_iter().collect(),
            weights_permille: vec![1_000; shape.server_count],
        }
    }

    fn handle_detector_event(
        &mut self,
        now_ms: u64,
        event: health::DetectorEvent,
    ) -> Vec<policy::Message> {
        let mut messages = Vec::new();
        for action in self.detector.handle(now_ms, event) {
            match action {
                health::DetectorAction::RequestEjection {
                    evidence,
                    server_id,
                } => messages.push(policy::Message::RequestEjection {
                    evidence: self.holder.request(now_ms, evidence, &server_id).evidence,
                    server_id,
                }),
                health::DetectorAction::Readmit { server_id } => {
                    let event = health::HolderEvent::Release { server_id };
                    self.holder.handle(now_ms, event);
                }
                health::DetectorAction::SendSummary { summary } => {
                    messages.push(policy::Message::Summary(summary));
                }
                health::DetectorAction::SetWeight {
                    server_id,
                    weight_permille,
                } => {
                    if let Some(server) = self.server_ids.get_index_of(&server_id) {
                        self.weights_permille[server] = weight_permille;
                    }
                }
                health::DetectorAction::PathFault { .. } => {}
            }
        }
        messages
    }

    fn handle_holder_event(
        &mut self,
        now_ms: u64,
        event: health::HolderEvent,
    ) -> Vec<policy::Message> {
        let mut messages = Vec::new();
        for action in self.holder.handle(now_ms, event) {
            let event = match action {
                health::HolderAction::Eject {
                    server_id,
                    until_ms,
                } => health::DetectorEvent::EjectionGranted {
                    server_id,
                    until_ms,
                },
                health::HolderAction::EjectionOver { server_id } => {
                    health::DetectorEvent::EjectionOver { server_id }
                }
                health::HolderAction::Refused {
                    retry_after_ms,
                    server_id,
                } => health::DetectorEvent::EjectionRefused {
                    retry_after_ms,
                    server_id,
                },
            };
            messages.extend(self.handle_detector_event(now_ms, event));
        }
        messages
    }
}

impl policy::Policy for SequentialPolicy {
    fn observe(
        &mut self,
        now_ms: u64,
        _server: usize,
        outcome: health::Outcome,
    ) -> Vec<policy::Message> {
        self.handle_detector_event(now_ms, health::DetectorEvent::Outcome(outcome))
    }

    fn advance(&mut self, now_ms: u64) -> Vec<policy::Message> {
        let is_due = |due_ms: Option<u64>| due_ms.is_some_and(|due_ms| due_ms <= now_ms);
        let mut messages = Vec::new();
        if is_due(self.holder.next_wakeup_ms()) {
            messages.extend(self.handle_holder_event(now_ms, health::HolderEvent::Tick));
        }
        if is_due(self.detector.next_wakeup_ms()) {
            messages.extend(self.handle_detector_event(now_ms, health::DetectorEvent::Tick));
        }
        messages
    }

    fn weight_permille(&self, _now_ms: u64, server: usize) -> u32 {
        self.weights_permille[server]
    }

    fn apply_summary(
        &mut self,
        now_ms: u64,
        from: usize,
        summary: health::Summary,
    ) -> Vec<policy::Message> {
        let port = u16::try_from(from + 1).unwrap_or(u16::MAX);
        let from = net::SocketAddr::from(([127, 0, 0, 1], port));
        self.handle_detector_event(now_ms, health::DetectorEvent::PeerSummary { from, summary })
    }

    fn apply_response(
        &mut self,
        now_ms: u64,
        response: health::EjectionResponse,
    ) -> Vec<policy::Message> {
        self.handle_holder_event(now_ms, health::HolderEvent::Response(response))
    }

    fn change_servers(&mut self, now_ms: u64, servers: &[health::ServerState]) {
        let servers = servers.to_vec();
        self.handle_detector_event(now_ms, health::DetectorEvent::ServersChanged { servers });
    }
}
