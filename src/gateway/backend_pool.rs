//! Load and health of the backend servers, and the choice between them.

use std::net;
use std::sync;

use xxhash_rust::xxh3;

use crate::configs::gateway as configs;
use crate::gateway;
use crate::gateway::peer_loads;
use crate::gateway::service_health;
use crate::gateway::tracked_server;
use crate::gateway::use_floor;
use crate::ports;

/// Time for which a refusal by a full server counts as load, in milliseconds.
const SHED_PENALTY_MS: u64 = 400;
/// Time for which a server is left alone after a failed connection, in
/// milliseconds.
const UNREACHABLE_PENALTY_MS: u64 = 1_500;
/// Weight of the newest sample in a service's mean run time.
const RUN_TIME_SMOOTHING: f64 = 0.05;
/// Run time assumed before the first answer, in milliseconds.
const INITIAL_MEAN_RUN_MS: f64 = 300.0;
/// Good answers that one report may add for a server.
const MAX_REPORTED_SUCCESSES: u32 = 4;
/// What a certainly failing server costs, as load: more than another zone and
/// another region, less than a server that cannot be reached.
const SUSPICION_COST: f64 = 2.5;
/// What a server that cannot be reached costs, as load.
const UNREACHABLE_COST: f64 = 4.0;
/// What a server that must be used gains over one without load, as load: more
/// than the random_value between equals, less than another zone.
const REQUIRED_SERVER_BONUS: f64 = 0.15;
/// What a server that has just refused a request costs, as load.
const SHED_COST: f64 = 0.5;
/// Slots that count of a server that is still warming up.
const WARMUP_SLOT_SHARE: f64 = 0.5;
/// Thousandths in one.
const PERMILLE: u64 = 1_000;
/// Hundredths in one.
const PERCENT: u64 = 100;
/// Spread of the random_value that decides between equals, as load.
const TIE_BREAK_SPREAD: f64 = 0.1;

/// Load and health of the backend servers, as this VM and the others of its
/// region see them together.
#[derive(Debug)]
pub struct BackendPool {
    by_service: indexmap::IndexMap<String, Vec<u64>>,
    changes: Vec<gateway::HealthChange>,
    config: configs::SuspicionConfig,
    servers: indexmap::IndexMap<u64, tracked_server::TrackedServer>,
    min_share_permille: u64,
    peer_loads: peer_loads::PeerLoads,
    run_time_ms: indexmap::IndexMap<String, f64>,
    server_use: configs::ServerUseConfig,
    services: indexmap::IndexMap<u64, service_health::ServiceHealth>,
}

impl BackendPool {
    /// Gives a pool without servers. Of a service's servers, at least
    /// `min_share_permille` are kept in use.
    #[must_use]
    pub fn new(
        config: configs::SuspicionConfig,
        server_use: configs::ServerUseConfig,
        min_share_permille: u64,
    ) -> Self {
        Self {
            by_service: indexmap::IndexMap::new(),
            changes: Vec::new(),
            config,
            servers: indexmap::IndexMap::new(),
            min_share_permille,
            peer_loads: peer_loads::PeerLoads::default(),
            run_time_ms: indexmap::IndexMap::new(),
            server_use,
            services: indexmap::IndexMap::new(),
        }
    }

    /// Takes over the servers that are registered now. What is known of a
    /// incarnation that goes on stays.
    pub fn set_backends<'a>(
        &mut self,
        now_ms: u64,
        backends: impl Iterator<Item = &'a sync::Arc<ports::Backend>>,
    ) {
        let mut servers = indexmap::IndexMap::new();
        self.by_service.clear();
        for backend in backends {
            let incarnation = backend.incarnation();
            let known = self.servers.swap_remove(&incarnation);
            let mut server = known.unwrap_or_else(|| {
                tracked_server::TrackedServer::new(&self.config, now_ms, backend)
            });
            server.backend = sync::Arc::clone(backend);
            servers.insert(incarnation, server);
            let incarnations = self.by_service.entry(backend.service.clone()).or_default();
            incarnations.push(incarnation);
        }
        self.servers = servers;
    }

    /// Gives the server for a request and counts it as in flight there.
    ///
    /// The least loaded server wins; distance, warm-up and suspicion count as
    /// load. Suspicion does not count for the servers that must be used next.
    pub fn choose(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<gateway::Choice> {
        let candidates = self.candidates(now_ms, request);
        let required = self.required_servers(now_ms, &candidates, request);
        let best = candidates
            .iter()
            .filter_map(|&(incarnation, suspicion)| {
                let is_required = required.contains(&incarnation);
                let effective_suspicion = if is_required { 0.0 } else { suspicion };
                let mut cost = self.cost(now_ms, incarnation, effective_suspicion, request)?;
                if is_required {
                    cost -= REQUIRED_SERVER_BONUS;
                }
                let is_probe = is_required && suspicion >= tracked_server::SUSPECT_PROBABILITY;
                Some((cost, incarnation, suspicion, is_probe))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let (_, incarnation, suspicion, is_probe) = best;
        let in_flight = self.in_flight(now_ms, incarnation);
        let server = self.servers.get_mut(&incarnation)?;
        server.in_flight += 1;
        server.sent_count += 1;
        server.last_sent_ms = now_ms;
        Some(gateway::Choice {
            backend: sync::Arc::clone(&server.backend),
            candidate_count: candidates.len(),
            in_flight,
            is_same_region: request.region == server.backend.region,
            is_probe,
            incarnation,
            suspicion,
        })
    }

    /// Notes that a request has left a server.
    pub fn record_end(&mut self, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Notes what a request of this VM says of its server. Gives whether other
    /// VMs should learn of it at once; good answers go with the next report.
    pub fn record_evidence(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        evidence: gateway::Evidence,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&incarnation) else {
            return false;
        };
        let change = server.record_evidence(&self.config, now_ms, evidence, 1, true);
        self.changes.extend(change);
        let is_success = evidence == gateway::Evidence::Success;
        if is_success {
            server.success_count += 1;
        }
        !is_success
    }

    /// Notes how a request of this VM has ended for its caller.
    pub fn record_outcome(&mut self, now_ms: u64, service: &str, is_served: bool) {
        let health = self.services.entry(service_hash(service)).or_default();
        health.record_own_outcome(now_ms, is_served);
        self.record_service_change(now_ms, service_hash(service));
    }

    /// Notes how long an answered request ran, and gives what that says of
    /// its server.
    pub fn record_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence {
        let mean_ms = self
            .run_time_ms
            .entry(service.to_owned())
            .or_insert(INITIAL_MEAN_RUN_MS);
        let is_slow = run_ms > *mean_ms * self.config.slow_factor;
        let sample_ms = run_ms.min(*mean_ms * self.config.slow_factor);
        *mean_ms += (sample_ms - *mean_ms) * RUN_TIME_SMOOTHING;
        if is_slow {
            gateway::Evidence::Slow
        } else {
            gateway::Evidence::Success
        }
    }

    /// Gives the mean run time of a service's requests, in milliseconds.
    #[must_use]
    pub fn mean_run_ms(&self, service: &str) -> f64 {
        let known = self.run_time_ms.get(service);
        known.copied().unwrap_or(INITIAL_MEAN_RUN_MS)
    }

    /// Notes that a server refused a request because it was full.
    pub fn record_shed(&mut self, now_ms: u64, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.last_shed_ms = Some(now_ms);
        }
    }

    /// Notes that no connection to a server could be made.
    pub fn record_unreachable(&mut self, now_ms: u64, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.unreachable_until_ms = now_ms + UNREACHABLE_PENALTY_MS;
        }
    }

    /// Takes in another VM's report.
    pub fn apply_report(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        report: &gateway::LoadReport,
    ) {
        for load in &report.servers {
            let success = gateway::Evidence::Success;
            let count = load.success_count.min(MAX_REPORTED_SUCCESSES);
            if let Some(server) = self.servers.get_mut(&load.incarnation) {
                if count > 0 {
                    let change =
                        server.record_evidence(&self.config, now_ms, success, count, false);
                    self.changes.extend(change);
                }
                if load.sent_count > 0 {
                    server.last_sent_ms = now_ms;
                }
            }
        }
        for outcomes in &report.services {
            let health = self.services.entry(outcomes.service_hash).or_default();
            health.record_outcomes(now_ms, outcomes.served_count, outcomes.unserved_count);
            self.record_service_change(now_ms, outcomes.service_hash);
        }
        self.peer_loads.apply_report(now_ms, from, report);
    }

    /// Notes what another VM's request says of its server.
    pub fn record_peer_evidence(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        evidence: gateway::Evidence,
    ) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            let change = server.record_evidence(&self.config, now_ms, evidence, 1, false);
            self.changes.extend(change);
        }
    }

    /// Gives what has changed in what this VM believes, since it was last asked.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<gateway::HealthChange> {
        std::mem::take(&mut self.changes)
    }

    /// Gives this VM's report, and begins the next one.
    #[must_use]
    pub fn take_report(&mut self) -> gateway::LoadReport {
        let servers = self.servers.values_mut();
        let services = self.services.iter_mut();
        gateway::LoadReport {
            servers: servers
                .filter_map(tracked_server::TrackedServer::take_load)
                .collect(),
            services: services
                .filter_map(|(service_hash, health)| health.take_outcomes(*service_hash))
                .collect(),
        }
    }

    fn record_service_change(&mut self, now_ms: u64, hash: u64) {
        let percent = self.server_use.trouble_percent;
        let health = self.services.get_mut(&hash);
        let Some(failed_share) = health.and_then(|health| health.take_change(now_ms, percent))
        else {
            return;
        };
        // A service without servers has no name here.
        let mut names = self.by_service.keys();
        let service = names.find(|name| service_hash(name) == hash);
        self.changes.push(gateway::HealthChange::Service {
            failed_share,
            is_degraded: self.services[&hash].is_degraded(now_ms, percent),
            service: service.cloned().unwrap_or_else(|| format!("{hash:016x}")),
        });
    }

    /// Gives the ready servers that were not tried, each with the probability
    /// that it is failing.
    fn candidates(&self, now_ms: u64, request: &gateway::ChoiceRequest<'_>) -> Vec<(u64, f64)> {
        let incarnations = self.by_service.get(request.service);
        incarnations
            .into_iter()
            .flatten()
            .filter(|incarnation| !request.excluded.contains(incarnation))
            .filter_map(|incarnation| {
                let server = self.servers.get(incarnation)?;
                let is_ready = server.backend.state == ports::BackendState::Ready;
                is_ready.then(|| {
                    let suspicion = server.suspicion.probability(&self.config, now_ms);
                    (*incarnation, suspicion)
                })
            })
            .collect()
    }

    /// Gives the servers that must be used next, of the VM's region: only its
    /// VMs tell when they have last used them.
    fn required_servers(
        &self,
        now_ms: u64,
        candidates: &[(u64, f64)],
        request: &gateway::ChoiceRequest<'_>,
    ) -> Vec<u64> {
        let same_region = candidates.iter().filter_map(|&(incarnation, suspicion)| {
            let server = self.servers.get(&incarnation)?;
            (server.backend.region == request.region).then(|| use_floor::FloorCandidate {
                is_used: self.is_used(now_ms, server, request.random_value),
                incarnation,
                suspicion,
            })
        });
        let same_region: Vec<use_floor::FloorCandidate> = same_region.collect();
        let health = self.services.get(&service_hash(request.service));
        let is_degraded = health
            .is_some_and(|health| health.is_degraded(now_ms, self.server_use.trouble_percent));
        let share_permille = if is_degraded {
            PERMILLE
        } else {
            self.min_share_permille + self.server_use.share_margin_percent * PERMILLE / PERCENT
        };
        use_floor::required_servers(&same_region, share_permille)
    }

    /// Tells whether a server got a request of late.
    fn is_used(
        &self,
        now_ms: u64,
        server: &tracked_server::TrackedServer,
        random_value: f64,
    ) -> bool {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "a random_value is between 0 and 1, the spread a few seconds"
        )]
        let spread_ms = (random_value * self.server_use.max_unused_spread_ms as f64) as u64;
        server.last_sent_ms + self.server_use.max_unused_ms + spread_ms >= now_ms
    }

    fn cost(
        &self,
        now_ms: u64,
        incarnation: u64,
        suspicion: f64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<f64> {
        let server = self.servers.get(&incarnation)?;
        let backend = &server.backend;
        let is_warming = server.registered_ms + backend.warmup_left_ms > now_ms;
        let slot_share = if is_warming { WARMUP_SLOT_SHARE } else { 1.0 };
        let slots = f64::from(backend.slot_count.max(1)) * slot_share;
        let mut cost = f64::from(self.in_flight(now_ms, incarnation)) / slots;
        if backend.region != request.region {
            cost += request.region_cost;
        } else if backend.availability_zone != request.availability_zone {
            cost += request.zone_cost;
        }
        if server
            .last_shed_ms
            .is_some_and(|at_ms| at_ms + SHED_PENALTY_MS > now_ms)
        {
            cost += SHED_COST;
        }
        if now_ms < server.unreachable_until_ms {
            cost += UNREACHABLE_COST;
        }
        cost += SUSPICION_COST * suspicion;
        Some(cost + TIE_BREAK_SPREAD * tie_break(incarnation, request.random_value))
    }

    fn in_flight(&self, now_ms: u64, incarnation: u64) -> u32 {
        let server = self.servers.get(&incarnation);
        let own = server.map_or(0, |server| server.in_flight);
        own + self.peer_loads.in_flight(now_ms, incarnation)
    }
}

/// Gives the name by which VMs speak of a service in reports.
fn service_hash(service: &str) -> u64 {
    xxh3::xxh3_64(service.as_bytes())
}

/// Gives a number in `0.0..1.0` that orders incarnations differently, and evenly,
/// for each random_value.
fn tie_break(incarnation: u64, random_value: f64) -> f64 {
    let mixed = xxh3::xxh3_64_with_seed(&incarnation.to_le_bytes(), random_value.to_bits());
    #[expect(
        clippy::cast_precision_loss,
        reason = "only the order of the numbers matters"
    )]
    let unit = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    unit
}
