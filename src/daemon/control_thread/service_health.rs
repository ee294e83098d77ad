//! Health of one service's servers: gray-failure detection, weights, ejections
//! and the decisions on ejections.

use std::net;

use crate::bundle;
use crate::configs;
use crate::health;
use crate::state_machine::StateMachine as _;

/// Health of one service's servers as observed by this entry VM.
pub struct ServiceHealth {
    /// Decider for the service's ejections, active while this VM holds the
    /// service's lease.
    pub decider: health::Decider,
    detector: health::Detector,
    ejected_since_ms: indexmap::IndexMap<String, u64>,
    false_ejection_weight: f64,
    holder: health::EjectionHolder,
}

/// Action on a service's servers that [`crate::daemon::HealthControl`] carries
/// out.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// Request an ejection from the service's decider.
    RequestEjection(health::EjectionRequest),
    /// Send no requests to a server until `until_ms`.
    Eject {
        /// Whether the server was not ejected before.
        is_new: bool,
        /// Id of the server.
        server_id: String,
        /// Latest end of the ejection, in milliseconds of the process's clock.
        until_ms: u64,
    },
    /// Send requests to a server again after its ejection.
    Readmitted {
        /// Id of the server.
        server_id: String,
    },
    /// Send this VM's observations to other entry VMs.
    SendSummary(health::Summary),
    /// Change a server's weight in the choice of servers.
    SetWeight {
        /// Id of the server.
        server_id: String,
        /// Weight in permille, where 1000 is the full weight.
        weight_permille: u32,
    },
}

impl ServiceHealth {
    /// Creates the health state of a service without any observations.
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

    /// Applies a changed weight of false ejections. The existing evidence was
    /// computed with the previous weight, so the detector is reset.
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

    /// Returns the ids of the ejected servers and the start times of their
    /// ejections, in milliseconds of the process's clock.
    pub fn ejected(&self) -> impl Iterator<Item = (&str, u64)> {
        self.ejected_since_ms
            .iter()
            .map(|(server_id, since_ms)| (server_id.as_str(), *since_ms))
    }

    /// Replaces the list of servers that are up, and the floor.
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

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now_ms: u64, outcome: health::Outcome) -> Vec<HealthAction> {
        self.feed_detector(now_ms, health::DetectorEvent::Outcome(outcome))
    }

    /// Ends an ejection before it expires, as requested by the decider.
    pub fn recall(&mut self, now_ms: u64, server_id: &str) -> Vec<HealthAction> {
        let server_id = server_id.to_owned();
        self.feed_holder(now_ms, health::HolderEvent::Recall { server_id })
    }

    /// Discards the evidence against a server that was crashed by a request.
    pub fn invalidate_evidence(&mut self, now_ms: u64, server_id: &str) -> Vec<HealthAction> {
        let server_id = server_id.to_owned();
        self.feed_detector(
            now_ms,
            health::DetectorEvent::EvidenceInvalidated { server_id },
        )
    }

    /// Handles another entry VM's observations of the servers.
    pub fn handle_peer_summary(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        summary: health::Summary,
    ) -> Vec<HealthAction> {
        let event = health::DetectorEvent::PeerSummary { from, summary };
        self.feed_detector(now_ms, event)
    }

    /// Handles the decider's response to an ejection request. Without a
    /// response, the detector may request the ejection again after
    /// `retry_after_ms`.
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

    /// Handles the passage of time in the state machines that are due.
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
