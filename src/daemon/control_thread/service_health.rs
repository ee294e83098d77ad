//! Gray failures of one service: steering, ejection and the decision on it.

use std::net;

use crate::bundle;
use crate::configs;
use crate::health;
use crate::state_machine::StateMachine as _;

/// Gray failures of one service as this entry VM sees them.
pub struct ServiceHealth {
    /// Decides on ejections while this VM holds the service's lease.
    pub decider: health::Decider,
    detector: health::Detector,
    ejected_since_ms: indexmap::IndexMap<String, u64>,
    false_ejection_weight: f64,
    holder: health::EjectionHolder,
}

/// What has to be done about a service's servers.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// Ask the service's decider for an ejection.
    RequestEjection(health::EjectionRequest),
    /// Send a server no work until `until_ms`.
    Eject {
        /// Whether the server was in service until now.
        is_new: bool,
        /// The server.
        server_id: String,
        /// When the ejection ends at the latest, on the process's clock.
        until_ms: u64,
    },
    /// A server is back in service.
    Readmitted {
        /// The server.
        server_id: String,
    },
    /// Tell other entry VMs what this one saw.
    SendSummary(health::Summary),
    /// Give a server another share of the work.
    SetWeight {
        /// The server.
        server_id: String,
        /// 1000 is all.
        weight_permille: u32,
    },
}

impl ServiceHealth {
    /// Gives a service whose servers have shown nothing yet.
    #[must_use]
    pub fn new(config: &configs::HealthConfig, service: &bundle::Service, seed: u64) -> Self {
        Self {
            decider: health::Decider::new(config),
            detector: health::Detector::new(config, service, seed),
            ejected_since_ms: indexmap::IndexMap::new(),
            false_ejection_weight: service.false_ejection_weight,
            holder: health::EjectionHolder::new(),
        }
    }

    /// Takes over another weight of false ejections: the evidence so far was
    /// weighed otherwise, so the detector starts afresh.
    pub fn change_weight(
        &mut self,
        config: &configs::HealthConfig,
        service: &bundle::Service,
        seed: u64,
    ) {
        let is_same =
            (service.false_ejection_weight - self.false_ejection_weight).abs() < f64::EPSILON;
        if !is_same {
            self.false_ejection_weight = service.false_ejection_weight;
            self.detector = health::Detector::new(config, service, seed);
        }
    }

    /// Gives the ejected servers with the moments since when they are.
    pub fn ejected(&self) -> impl Iterator<Item = (&str, u64)> {
        self.ejected_since_ms
            .iter()
            .map(|(server_id, since_ms)| (server_id.as_str(), *since_ms))
    }

    /// Takes over the servers that are up and the floor.
    pub fn change_servers(
        &mut self,
        now_ms: u64,
        floor_servers: u32,
        servers: &[health::ServerState],
    ) -> Vec<HealthAction> {
        let event = health::DetectorEvent::ServersChanged {
            servers: servers.to_vec(),
        };
        let mut actions = self.feed_detector(now_ms, event);
        let event = health::HolderEvent::ServiceChanged {
            floor_servers,
            servers: servers.to_vec(),
        };
        actions.extend(self.feed_holder(now_ms, event));
        actions
    }

    /// Takes over the outcome of an attempt.
    pub fn record_outcome(&mut self, now_ms: u64, outcome: health::Outcome) -> Vec<HealthAction> {
        self.feed_detector(now_ms, health::DetectorEvent::Outcome(outcome))
    }

    /// Takes over that the decider wants an ejection given up early.
    pub fn recall(&mut self, now_ms: u64, server_id: &str) -> Vec<HealthAction> {
        let server_id = server_id.to_owned();
        self.feed_holder(now_ms, health::HolderEvent::Recall { server_id })
    }

    /// Takes over that servers died of a request, not by their own fault.
    pub fn invalidate_evidence(&mut self, now_ms: u64, server_id: &str) -> Vec<HealthAction> {
        let server_id = server_id.to_owned();
        self.feed_detector(
            now_ms,
            health::DetectorEvent::EvidenceInvalidated { server_id },
        )
    }

    /// Takes over what another entry VM saw.
    pub fn handle_peer_summary(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        summary: health::Summary,
    ) -> Vec<HealthAction> {
        let event = health::DetectorEvent::PeerSummary { from, summary };
        self.feed_detector(now_ms, event)
    }

    /// Takes over the decider's answer; nothing when it could not be reached.
    pub fn handle_ejection_response(
        &mut self,
        now_ms: u64,
        server_id: &str,
        retry_after_ms: u64,
        response: Option<health::EjectionResponse>,
    ) -> Vec<HealthAction> {
        if let Some(response) = response {
            return self.feed_holder(now_ms, health::HolderEvent::Response(response));
        }
        let event = health::DetectorEvent::EjectionRefused {
            retry_after_ms,
            server_id: server_id.to_owned(),
        };
        self.feed_detector(now_ms, event)
    }

    /// Lets the state machines act on the time that has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        if is_due(self.holder.next_wakeup_ms(), now_ms) {
            actions.extend(self.feed_holder(now_ms, health::HolderEvent::Tick));
        }
        if is_due(self.detector.next_wakeup_ms(), now_ms) {
            actions.extend(self.feed_detector(now_ms, health::DetectorEvent::Tick));
        }
        actions
    }

    fn feed_detector(&mut self, now_ms: u64, event: health::DetectorEvent) -> Vec<HealthAction> {
        let detector_actions = self.detector.handle(now_ms, event);
        let mut actions = Vec::new();
        for action in detector_actions {
            actions.extend(self.handle_detector_action(now_ms, action));
        }
        actions
    }

    fn handle_detector_action(
        &mut self,
        now_ms: u64,
        action: health::DetectorAction,
    ) -> Vec<HealthAction> {
        match action {
            health::DetectorAction::RequestEjection {
                evidence,
                server_id,
            } => vec![HealthAction::RequestEjection(
                self.holder.request(now_ms, evidence, &server_id),
            )],
            health::DetectorAction::PathFault { .. } => Vec::new(),
            health::DetectorAction::Readmit { server_id } => {
                self.feed_holder(now_ms, health::HolderEvent::Release { server_id })
            }
            health::DetectorAction::SendSummary { summary } => {
                vec![HealthAction::SendSummary(summary)]
            }
            health::DetectorAction::SetWeight {
                server_id,
                weight_permille,
            } => vec![HealthAction::SetWeight {
                server_id,
                weight_permille,
            }],
        }
    }

    fn feed_holder(&mut self, now_ms: u64, event: health::HolderEvent) -> Vec<HealthAction> {
        let holder_actions = self.holder.handle(now_ms, event);
        let mut actions = Vec::new();
        for action in holder_actions {
            actions.extend(self.handle_holder_action(now_ms, action));
        }
        actions
    }

    fn handle_holder_action(
        &mut self,
        now_ms: u64,
        action: health::HolderAction,
    ) -> Vec<HealthAction> {
        let (event, health_action) = match action {
            health::HolderAction::Eject {
                server_id,
                until_ms,
            } => {
                let is_new = !self.ejected_since_ms.contains_key(&server_id);
                if is_new {
                    self.ejected_since_ms.insert(server_id.clone(), now_ms);
                }
                let event = health::DetectorEvent::EjectionGranted {
                    server_id: server_id.clone(),
                    until_ms,
                };
                let health_action = HealthAction::Eject {
                    is_new,
                    server_id,
                    until_ms,
                };
                (event, Some(health_action))
            }
            health::HolderAction::EjectionOver { server_id } => {
                self.ejected_since_ms.shift_remove(&server_id);
                let event = health::DetectorEvent::EjectionOver {
                    server_id: server_id.clone(),
                };
                let health_action = HealthAction::Readmitted { server_id };
                (event, Some(health_action))
            }
            health::HolderAction::Refused {
                retry_after_ms,
                server_id,
            } => {
                let event = health::DetectorEvent::EjectionRefused {
                    retry_after_ms,
                    server_id,
                };
                (event, None)
            }
        };
        let mut actions: Vec<HealthAction> = health_action.into_iter().collect();
        actions.extend(self.feed_detector(now_ms, event));
        actions
    }
}

fn is_due(wakeup_ms: Option<u64>, now_ms: u64) -> bool {
    wakeup_ms.is_some_and(|due_ms| due_ms <= now_ms)
}
