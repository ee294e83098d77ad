//! Load and health of one incarnation of a backend server.

use std::sync;

use crate::configs::gateway as configs;
use crate::gateway;
use crate::ports;

/// Probability of failing at which a server becomes suspect.
pub(super) const SUSPECT_PROBABILITY: f64 = 0.5;

/// Load and health of one incarnation of a backend server.
#[derive(Debug)]
pub(super) struct TrackedServer {
    /// Registration of the server.
    pub(super) backend: sync::Arc<ports::Backend>,
    /// Number of this VM's requests in flight on the server.
    pub(super) in_flight: u32,
    /// Whether the server was suspect in the last reported health change.
    is_suspect: bool,
    /// When this VM or another VM of its region last sent the server a request.
    pub(super) last_sent_ms: u64,
    /// When this VM first saw the registration.
    pub(super) registered_ms: u64,
    /// Number of requests that this VM sent since its last load report.
    pub(super) sent_count: u32,
    /// When the server last refused a request because all its slots were taken;
    /// `None` if it never did.
    pub(super) last_shed_ms: Option<u64>,
    /// Number of successes of this VM's requests since its last load report.
    pub(super) success_count: u32,
    /// Estimate of the probability that the server is failing.
    pub(super) suspicion: gateway::Suspicion,
    /// Time until which the server is assumed to be unreachable.
    pub(super) unreachable_until_ms: u64,
    /// What the server has asked for.
    pub(super) constraints: gateway::SendConstraints,
}

impl TrackedServer {
    /// Creates the state of a server that has just registered.
    pub(super) fn new(
        config: &configs::SuspicionConfig,
        now_ms: u64,
        backend: &sync::Arc<ports::Backend>,
    ) -> Self {
        Self {
            backend: sync::Arc::clone(backend),
            in_flight: 0,
            is_suspect: false,
            last_sent_ms: now_ms,
            registered_ms: now_ms,
            sent_count: 0,
            last_shed_ms: None,
            success_count: 0,
            suspicion: gateway::Suspicion::new(config),
            unreachable_until_ms: 0,
            constraints: gateway::SendConstraints::default(),
        }
    }

    /// Returns whether the server may be sent a request now.
    pub(super) fn allows_request(&self, now_ms: u64) -> bool {
        self.constraints.permission(now_ms) == gateway::SendPermission::Granted
    }

    /// Returns whether the server is still slow after its start.
    pub(super) fn is_warming(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.registered_ms) < self.backend.warmup_left_ms
    }

    /// Records the evidence from `count` requests on the server.
    ///
    /// Returns the health change if the server became suspect or ceased to be.
    pub(super) fn record_evidence(
        &mut self,
        config: &configs::SuspicionConfig,
        now_ms: u64,
        evidence: gateway::Evidence,
        count: u32,
        is_own: bool,
    ) -> Option<gateway::HealthChange> {
        self.suspicion.record(config, now_ms, evidence, count);
        let suspicion = self.suspicion.probability(config, now_ms);
        let is_suspect = suspicion >= SUSPECT_PROBABILITY;
        if is_suspect == self.is_suspect {
            return None;
        }
        self.is_suspect = is_suspect;
        Some(gateway::HealthChange::Server {
            is_own,
            is_suspect,
            server: self.backend.id.clone(),
            service: self.backend.service.clone(),
            suspicion,
        })
    }

    /// Returns this VM's load on the server for the next load report and resets the
    /// counts; `None` if there was no load.
    pub(super) fn take_load(&mut self) -> Option<gateway::ServerLoad> {
        let load = gateway::ServerLoad {
            in_flight: self.in_flight,
            incarnation: self.backend.incarnation(),
            sent_count: std::mem::take(&mut self.sent_count),
            success_count: std::mem::take(&mut self.success_count),
        };
        let is_empty = load.in_flight + load.sent_count + load.success_count == 0;
        (!is_empty).then_some(load)
    }
}
