//! What is known of one incarnation of a backend server.

use std::sync;

use crate::configs::gateway as configs;
use crate::gateway;
use crate::ports;

/// Probability from which on a server is a suspect.
pub(super) const SUSPECT_PROBABILITY: f64 = 0.5;

/// What is known of one incarnation of a backend server.
#[derive(Debug)]
pub(super) struct TrackedServer {
    /// Its registration.
    pub(super) backend: sync::Arc<ports::Backend>,
    /// This VM's requests in flight.
    pub(super) in_flight: u32,
    /// Whether it is believed to be failing, as was last told.
    is_suspect: bool,
    /// When this VM or one of its region has last sent it a request.
    pub(super) last_sent_ms: u64,
    /// When it was first seen.
    pub(super) registered_ms: u64,
    /// Requests of this VM since its last report.
    pub(super) sent_count: u32,
    /// When it last refused a request because it was full.
    pub(super) last_shed_ms: Option<u64>,
    /// Good answers to this VM since its last report.
    pub(super) success_count: u32,
    /// How likely it is to be failing.
    pub(super) suspicion: gateway::Suspicion,
    /// Until when it is taken to be out of reach.
    pub(super) unreachable_until_ms: u64,
}

impl TrackedServer {
    /// Gives what is known of a server that has just registered.
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
        }
    }

    /// Takes in what `count` requests say of it. Gives whether that changes what
    /// is believed of it.
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

    /// Gives this VM's part of the next report, and begins a new one; nothing
    /// if there is nothing to tell.
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
