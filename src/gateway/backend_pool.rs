//! Load and health of the backend servers, and the choice of a server for each
//! request.

mod free_slots;
mod named_limits;
mod risk;
mod send_constraints;

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

/// Time for which a server that refused a request costs `SHED_COST`, in
/// milliseconds.
const SHED_PENALTY_MS: u64 = 400;
/// Time for which a server costs `UNREACHABLE_COST` after a failed connection
/// or a misdirected request, in milliseconds.
const UNREACHABLE_PENALTY_MS: u64 = 1_500;
/// Weight of the newest sample in the moving average of a service's run time.
const RUN_TIME_SMOOTHING: f64 = 0.05;
/// Mean run time assumed before the first response of a service, in
/// milliseconds.
const INITIAL_MEAN_RUN_MS: f64 = 300.0;
/// Maximum number of successes that one load report adds for a server.
const MAX_REPORTED_SUCCESSES: u32 = 4;
/// Cost of a server that could not be reached, in units of load.
const UNREACHABLE_COST: f64 = 4.0;
/// Reduction of the cost of a server that must receive a request to keep the
/// minimum share of servers in use, in units of load.
///
/// More than `TIE_BREAK_SPREAD`, so that the server is preferred to one without
/// load, and by default less than the cost of another zone.
const REQUIRED_SERVER_BONUS: f64 = 0.15;
/// Cost of a server that refused a request within `SHED_PENALTY_MS`, in units of
/// load.
const SHED_COST: f64 = 0.5;
/// Share of its slots that a server is assumed to have while it warms up.
const WARMUP_SLOT_SHARE: f64 = 0.5;
const PERMILLE: u64 = 1_000;
const PERCENT: u64 = 100;
/// Range of the random cost that decides between equal servers, in units of
/// load.
const TIE_BREAK_SPREAD: f64 = 0.1;

/// Load and health of the backend servers, from the requests of this VM and the
/// reports of the other VMs of its region.
///
/// Servers are compared by cost. The unit is the load of a server: 1.0 means as
/// many requests in flight as the server has slots.
#[derive(Debug)]
pub struct BackendPool {
    by_service: indexmap::IndexMap<String, Vec<u64>>,
    changes: Vec<gateway::HealthChange>,
    config: configs::SuspicionConfig,
    leaving: gateway::LeavingServers,
    servers: indexmap::IndexMap<u64, tracked_server::TrackedServer>,
    min_share_permille: u64,
    peer_loads: peer_loads::PeerLoads,
    run_time_ms: indexmap::IndexMap<String, f64>,
    server_use: configs::ServerUseConfig,
    services: indexmap::IndexMap<u64, service_health::ServiceHealth>,
}

impl BackendPool {
    /// Creates a pool without servers that keeps at least `min_share_permille` of
    /// each service's servers in use.
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
            leaving: gateway::LeavingServers::default(),
            servers: indexmap::IndexMap::new(),
            min_share_permille,
            peer_loads: peer_loads::PeerLoads::default(),
            run_time_ms: indexmap::IndexMap::new(),
            server_use,
            services: indexmap::IndexMap::new(),
        }
    }

    /// Replaces the set of servers with the servers that are registered now.
    ///
    /// Load and health of an incarnation that is still registered are kept.
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
            server.constraints.is_leaving = self.leaving.contains(incarnation);
            servers.insert(incarnation, server);
            let incarnations = self.by_service.entry(backend.service.clone()).or_default();
            incarnations.push(incarnation);
        }
        self.servers = servers;
    }

    /// Chooses a server for a request and counts the request as in flight on it.
    /// Returns `None` if no ready server is left that the request has not tried.
    ///
    /// Chooses the server with the lowest cost: its load, plus costs for distance,
    /// recent refusals, failed connections and suspicion. Suspicion costs more for a
    /// request that would be lost with a failure. It costs nothing
    /// on servers that must receive a request to keep the minimum share in use, and
    /// while the service is degraded, their zone costs nothing either.
    ///
    /// Load pattern: at any time, a third of the servers fail nearly all requests, and
    /// half of the requests may run only once. A server that must be tried again gets a
    /// request that can be retried, as long as there are such requests.
    ///
    /// Load pattern: the servers of a service are spread unevenly over the zones, and
    /// many of them fail. If the VMs kept to the servers of their own zone, those of a
    /// zone with few callers would get no requests for seconds.
    pub fn choose(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<gateway::Choice> {
        self.choose_among(now_ms, request, |_, _| true)
    }

    /// Chooses a server as `choose` does, among those that `is_eligible` accepts and
    /// those that must receive a request to keep the minimum share in use.
    fn choose_among(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
        is_eligible: impl Fn(&Self, u64) -> bool,
    ) -> Option<gateway::Choice> {
        let candidates = self.candidates(now_ms, request);
        let is_degraded = self.is_degraded(now_ms, request.service);
        let mut required = self.required_servers(now_ms, &candidates, is_degraded, request);
        self.leave_probes_to_retryable_requests(now_ms, &mut required, &candidates, request);
        let any_zone = gateway::ChoiceRequest {
            zone_cost: 0.0,
            ..*request
        };
        let required_request = if is_degraded { &any_zone } else { request };
        let best = candidates
            .iter()
            .filter_map(|&(incarnation, suspicion)| {
                let is_required = required.contains(&incarnation);
                if !is_required && !is_eligible(self, incarnation) {
                    return None;
                }
                let cost = if is_required {
                    self.cost(now_ms, incarnation, 0.0, required_request)? - REQUIRED_SERVER_BONUS
                } else {
                    self.cost(now_ms, incarnation, suspicion, request)?
                };
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
        let backend = sync::Arc::clone(&server.backend);
        Some(gateway::Choice {
            candidate_count: candidates.len(),
            in_flight,
            is_same_region: request.region == backend.region,
            is_probe,
            incarnation,
            limit_notice: self.count_towards_limit(now_ms, incarnation),
            suspicion,
            backend,
        })
    }

    /// Records that a request is no longer in flight on a server.
    pub fn record_request_end(&mut self, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Records the evidence on a server from a request of this VM.
    ///
    /// Returns whether the other VMs must be notified at once. Successes are sent
    /// with the next load report instead.
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

    /// Records that a request of this VM begins.
    pub fn record_begin(&mut self, now_ms: u64, service: &str) {
        let health = self.services.entry(service_hash(service)).or_default();
        health.record_own_begin(now_ms);
        self.record_service_change(now_ms, service_hash(service));
    }

    /// Records that the caller of a request of this VM was not served.
    pub fn record_unserved(&mut self, now_ms: u64, service: &str) {
        let health = self.services.entry(service_hash(service)).or_default();
        health.record_own_unserved(now_ms);
        self.record_service_change(now_ms, service_hash(service));
    }

    /// Adds the run time of a request that got a response to the service's mean.
    ///
    /// Returns the evidence on the server: slow if the run time exceeds the
    /// mean by the configured factor.
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

    /// Returns the mean run time of a service's requests, in milliseconds.
    #[must_use]
    pub fn mean_run_ms(&self, service: &str) -> f64 {
        let known = self.run_time_ms.get(service);
        known.copied().unwrap_or(INITIAL_MEAN_RUN_MS)
    }

    /// Records that a server refused a request because all its slots were taken.
    pub fn record_shed(&mut self, now_ms: u64, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.last_shed_ms = Some(now_ms);
        }
    }

    /// Records that a server could not be reached at its address.
    pub fn record_unreachable(&mut self, now_ms: u64, incarnation: u64) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.unreachable_until_ms = now_ms + UNREACHABLE_PENALTY_MS;
        }
    }

    /// Forgets which servers could not be reached, after the path to all of them was
    /// interrupted.
    pub fn clear_unreachable(&mut self) {
        for server in self.servers.values_mut() {
            server.unreachable_until_ms = 0;
        }
    }

    /// Returns up to `count` servers for health checks that may be sent a request now,
    /// drawn by `random_value` from those of `region`, or from all if it has none.
    #[must_use]
    pub fn servers_to_check(
        &self,
        now_ms: u64,
        count: usize,
        region: &str,
        random_value: f64,
    ) -> Vec<sync::Arc<ports::Backend>> {
        let servers = self.servers.values();
        let open = servers.filter(|server| {
            server.backend.state == ports::BackendState::Ready && server.allows_request(now_ms)
        });
        let mut ready: Vec<_> = open.map(|server| &server.backend).collect();
        ready.sort_by_cached_key(|backend| {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "only the order of the numbers matters"
            )]
            let order =
                (tie_break(backend.incarnation(), random_value) * f64::from(u32::MAX)) as u32;
            (backend.region != region, order)
        });
        ready.into_iter().take(count).cloned().collect()
    }

    /// Applies the load report of another VM.
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
            health.record_requests(now_ms, outcomes.begun_count, outcomes.unserved_count);
            self.record_service_change(now_ms, outcomes.service_hash);
        }
        self.peer_loads.apply_report(now_ms, from, report);
    }

    /// Records the evidence on a server from a request of another VM.
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

    /// Returns the changes of server and service health since the last call.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<gateway::HealthChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns this VM's load report and resets its counts for the next report.
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
        // The name of a service without registered servers is unknown.
        let mut names = self.by_service.keys();
        let service = names.find(|name| service_hash(name) == hash);
        self.changes.push(gateway::HealthChange::Service {
            failed_share,
            is_degraded: self.services[&hash].is_degraded(now_ms, percent),
            service: service.cloned().unwrap_or_else(|| format!("{hash:016x}")),
        });
    }

    /// Returns the servers that the request has not tried and that may be sent a
    /// request now, each with the probability that it is failing.
    fn candidates(&self, now_ms: u64, request: &gateway::ChoiceRequest<'_>) -> Vec<(u64, f64)> {
        let open = self
            .untried_servers(request)
            .filter(|(_, server)| server.allows_request(now_ms));
        open.map(|(incarnation, server)| {
            let suspicion = server.suspicion.probability(&self.config, now_ms);
            (incarnation, suspicion)
        })
        .collect()
    }

    /// Returns the ready servers that the request has not tried.
    fn untried_servers(
        &self,
        request: &gateway::ChoiceRequest<'_>,
    ) -> impl Iterator<Item = (u64, &tracked_server::TrackedServer)> {
        let incarnations = self.by_service.get(request.service).into_iter().flatten();
        incarnations
            .filter(|incarnation| !request.excluded.contains(incarnation))
            .filter_map(|incarnation| {
                let server = self.servers.get(incarnation)?;
                let is_ready = server.backend.state == ports::BackendState::Ready;
                is_ready.then_some((*incarnation, server))
            })
    }

    /// Returns the servers that must receive the next requests to keep the minimum
    /// share in use.
    ///
    /// Covers the servers of the VM's own region only, because only the VMs of one
    /// region report to each other when they used a server.
    fn required_servers(
        &self,
        now_ms: u64,
        candidates: &[(u64, f64)],
        is_degraded: bool,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Vec<u64> {
        let same_region = candidates.iter().filter_map(|&(incarnation, suspicion)| {
            let server = self.servers.get(&incarnation)?;
            (server.backend.region == request.region).then(|| use_floor::FloorCandidate {
                is_used: self.is_used(now_ms, server, request.random_value),
                incarnation,
                registered_ms: server.registered_ms,
                suspicion,
            })
        });
        let same_region: Vec<use_floor::FloorCandidate> = same_region.collect();
        let health = self.services.get(&service_hash(request.service));
        let margin_permille = self.server_use.share_margin_percent * PERMILLE / PERCENT;
        let required = use_floor::RequiredUse {
            is_degraded,
            recent_request_count: health.map_or(0, |health| health.recent_request_count(now_ms)),
            share_permille: self.min_share_permille + margin_permille,
        };
        use_floor::required_servers(&same_region, required)
    }

    /// Returns whether so many of a service's recent requests failed that all of its
    /// servers are used.
    fn is_degraded(&self, now_ms: u64, service: &str) -> bool {
        let health = self.services.get(&service_hash(service));
        health.is_some_and(|health| health.is_degraded(now_ms, self.server_use.trouble_percent))
    }

    /// Returns whether a server received a request recently enough to count as used.
    ///
    /// `random_value` varies the limit, so that the VMs do not all choose the same
    /// unused server.
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
            reason = "a random value is between 0 and 1, the spread a few seconds"
        )]
        let spread_ms = (random_value * self.server_use.max_unused_spread_ms as f64) as u64;
        server.last_sent_ms + self.server_use.max_unused_ms + spread_ms >= now_ms
    }

    /// Returns the cost of a server for a request, in units of load; `None` for an
    /// unknown server.
    fn cost(
        &self,
        now_ms: u64,
        incarnation: u64,
        suspicion: f64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<f64> {
        let server = self.servers.get(&incarnation)?;
        let backend = &server.backend;
        let is_warming = server.is_warming(now_ms);
        let slot_share = if is_warming { WARMUP_SLOT_SHARE } else { 1.0 };
        let slots = f64::from(backend.slot_count.max(1)) * slot_share;
        let tie_break = TIE_BREAK_SPREAD * tie_break(incarnation, request.random_value);
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
        cost += self.risk_cost(now_ms, suspicion, request);
        cost += tie_break;
        Some(cost)
    }

    /// Returns the number of requests in flight on a server, from this VM and from
    /// the VMs that report to it.
    fn in_flight(&self, now_ms: u64, incarnation: u64) -> u32 {
        let server = self.servers.get(&incarnation);
        let own = server.map_or(0, |server| server.in_flight);
        own + self.peer_loads.in_flight(now_ms, incarnation)
    }
}

/// Returns the hash that identifies a service in load reports.
fn service_hash(service: &str) -> u64 {
    xxh3::xxh3_64(service.as_bytes())
}

/// Returns a number in `0.0..1.0` that orders the incarnations differently for
/// each random value, so that equal servers are chosen equally often.
fn tie_break(incarnation: u64, random_value: f64) -> f64 {
    let mixed = xxh3::xxh3_64_with_seed(&incarnation.to_le_bytes(), random_value.to_bits());
    #[expect(
        clippy::cast_precision_loss,
        reason = "only the order of the numbers matters"
    )]
    let unit = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    unit
}
