//! Baseline policies to compare the gateway with.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;
use rand::seq::IteratorRandom as _;

use crate::replay;
use crate::replay::balancer;

/// Mean run time that a baseline policy assumes, in milliseconds.
const ASSUMED_MEAN_RUN_MS: f64 = 300.0;

/// Baseline policies, which use no evidence about servers: a random server, or
/// the one with the fewest requests in flight from the VM.
pub(super) struct BaselineBalancer {
    backends: Vec<sync::Arc<ports::Backend>>,
    in_flight: indexmap::IndexMap<u64, u32>,
    rng: rngs::SmallRng,
    rule: replay::ChoiceRule,
}

impl BaselineBalancer {
    /// Creates a balancer over the servers.
    pub(super) fn new(
        rule: replay::ChoiceRule,
        backends: &[sync::Arc<ports::Backend>],
        seed: u64,
    ) -> Self {
        Self {
            backends: backends.to_vec(),
            in_flight: indexmap::IndexMap::new(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            rule,
        }
    }
}

impl balancer::Balancer for BaselineBalancer {
    fn choose(
        &mut self,
        _now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<balancer::ChosenServer> {
        let candidates = self.backends.iter().filter(|backend| {
            backend.service == request.service && !request.excluded.contains(&backend.incarnation())
        });
        let candidates: Vec<u64> = candidates.map(|backend| backend.incarnation()).collect();
        let incarnation = if self.rule == replay::ChoiceRule::Random {
            candidates.into_iter().choose(&mut self.rng)?
        } else {
            let loads = candidates.into_iter().map(|incarnation| {
                let in_flight = self.in_flight.get(&incarnation).copied().unwrap_or(0);
                (in_flight, self.rng.random::<u32>(), incarnation)
            });
            loads.min()?.2
        };
        let in_flight = self.in_flight.entry(incarnation).or_default();
        *in_flight += 1;
        Some(balancer::ChosenServer {
            in_flight: *in_flight - 1,
            is_probe: false,
            incarnation,
        })
    }

    fn record_request_end(&mut self, incarnation: u64) {
        let in_flight = self.in_flight.entry(incarnation).or_default();
        *in_flight = in_flight.saturating_sub(1);
    }

    fn mean_run_ms(&self, _service: &str) -> f64 {
        ASSUMED_MEAN_RUN_MS
    }

    fn record_run_time(&mut self, _service: &str, _run_ms: f64) -> gateway::Evidence {
        gateway::Evidence::Success
    }

    fn record_evidence(
        &mut self,
        _now_ms: u64,
        _incarnation: u64,
        _evidence: gateway::Evidence,
    ) -> bool {
        false
    }

    fn record_peer_evidence(
        &mut self,
        _now_ms: u64,
        _incarnation: u64,
        _evidence: gateway::Evidence,
    ) {
    }

    fn record_begin(&mut self, _now_ms: u64, _service: &str) {}

    fn record_unserved(&mut self, _now_ms: u64, _service: &str) {}

    fn record_shed(&mut self, _now_ms: u64, _incarnation: u64) {}

    fn take_report(&mut self) -> Option<gateway::LoadReport> {
        None
    }

    fn apply_report(&mut self, _now_ms: u64, _from: usize, _report: &gateway::LoadReport) {}
}
