//! Load and health of the backend servers, and the choice between them.

use std::net;
use std::sync;

use xxhash_rust::xxh3;

use crate::configs::gateway as configs;
use crate::gateway;
use crate::gateway::service_trouble;
use crate::ports;

/// Age at which another VM's report of its load counts no more, in
/// milliseconds: ten reports.
const REPORT_MAX_AGE_MS: u64 = 1_500;
/// Time for which a refusal by a full server counts as load, in milliseconds.
const SHED_MEMORY_MS: u64 = 400;
/// Time for which a server is left alone after a failed connection, in
/// milliseconds.
const UNREACHABLE_MS: u64 = 1_500;
/// Weight of the newest sample in a service's mean run time.
const RUN_TIME_GAIN: f64 = 0.05;
/// Run time assumed before the first answer, in milliseconds.
const FIRST_RUN_TIME_MS: f64 = 300.0;
/// Probability from which on a server is a suspect.
const SUSPECT_PROBABILITY: f64 = 0.5;
/// Part of the suspicion that counts for suspects that must not be avoided.
const SPARED_SUSPICION: f64 = 0.5;
/// Time without work after which a server that must be seen in use is given a
/// request, in milliseconds: the contract looks at spans of two seconds.
const MAX_UNUSED_MS: u64 = 1_000;
/// Spread of that time, so that VMs do not all choose the same server, in
/// milliseconds.
const UNUSED_SPREAD_MS: f64 = 400.0;
/// Good answers that one report may add for a server.
const MAX_REPORTED_SUCCESSES: u32 = 4;
/// What a certainly failing server costs, as load: more than another zone and
/// another region, less than a server that cannot be reached.
const SUSPICION_COST: f64 = 2.5;
/// What a server that cannot be reached costs, as load.
const UNREACHABLE_COST: f64 = 4.0;
/// What a server that has just refused a request costs, as load.
const SHED_COST: f64 = 0.5;
/// Slots that count of a server that is still warming up.
const WARMING_SLOTS: f64 = 0.5;
/// Spread of the draw that decides between equals, as load.
const TIE_SPREAD: f64 = 0.1;

/// Load and health of the backend servers, as this VM and the others of its
/// region see them together.
#[derive(Debug)]
pub struct BackendBoard {
    by_service: indexmap::IndexMap<String, Vec<u64>>,
    config: configs::SuspicionConfig,
    lifetimes: indexmap::IndexMap<u64, Track>,
    min_share_permille: u64,
    reports: indexmap::IndexMap<net::SocketAddr, PeerLoad>,
    run_time_ms: indexmap::IndexMap<String, f64>,
    services: indexmap::IndexMap<String, service_trouble::ServiceTrouble>,
}

/// What is known of one lifetime of a server.
#[derive(Debug)]
struct Track {
    backend: sync::Arc<ports::Backend>,
    in_flight: u32,
    last_used_ms: u64,
    new_successes: u32,
    registered_ms: u64,
    shed_ms: Option<u64>,
    suspicion: gateway::Suspicion,
    unreachable_until_ms: u64,
}

#[derive(Debug)]
struct PeerLoad {
    at_ms: u64,
    in_flight: indexmap::IndexMap<u64, u32>,
}

/// What a server is looked for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The VM's availability zone.
    pub availability_zone: &'a str,
    /// Lifetimes that were tried.
    pub excluded: &'a [u64],
    /// The VM's region.
    pub region: &'a str,
    /// The service.
    pub service: &'a str,
    /// What another zone costs, as load of a server.
    pub zone_cost: f64,
    /// What another region costs, as load of a server.
    pub region_cost: f64,
    /// A draw in `0.0..1.0`, to break ties.
    pub draw: f64,
}

/// The server that was chosen, and why.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub backend: sync::Arc<ports::Backend>,
    /// Candidates that it was chosen from.
    pub candidate_count: usize,
    /// Requests in flight on it before, from all VMs that report.
    pub in_flight: u32,
    /// Whether it is in the VM's region.
    pub is_near: bool,
    /// Whether it was chosen, though suspect, only to be seen in use.
    pub is_probe: bool,
    /// Names its lifetime.
    pub lifetime: u64,
    /// Probability that it is failing.
    pub suspicion: f64,
}

/// What one VM tells the others of its region.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// Requests that it has in flight, by lifetime.
    pub in_flight: Vec<(u64, u32)>,
    /// Good answers since the last report, by lifetime.
    pub successes: Vec<(u64, u32)>,
}

impl BackendBoard {
    /// Gives a board without servers. Of a service's servers, at least
    /// `min_share_permille` are never avoided for suspicion.
    #[must_use]
    pub fn new(config: configs::SuspicionConfig, min_share_permille: u64) -> Self {
        Self {
            by_service: indexmap::IndexMap::new(),
            config,
            lifetimes: indexmap::IndexMap::new(),
            min_share_permille,
            reports: indexmap::IndexMap::new(),
            run_time_ms: indexmap::IndexMap::new(),
            services: indexmap::IndexMap::new(),
        }
    }

    /// Takes over the servers that are registered now. What is known of a
    /// lifetime that goes on stays.
    pub fn set_backends<'a>(
        &mut self,
        now_ms: u64,
        backends: impl Iterator<Item = &'a sync::Arc<ports::Backend>>,
    ) {
        let mut lifetimes = indexmap::IndexMap::new();
        self.by_service.clear();
        for backend in backends {
            let lifetime = backend.lifetime();
            let known = self.lifetimes.swap_remove(&lifetime);
            let track = known.map_or_else(
                || Track {
                    backend: sync::Arc::clone(backend),
                    in_flight: 0,
                    last_used_ms: now_ms,
                    new_successes: 0,
                    registered_ms: now_ms,
                    shed_ms: None,
                    suspicion: gateway::Suspicion::new(&self.config),
                    unreachable_until_ms: 0,
                },
                |track| Track {
                    backend: sync::Arc::clone(backend),
                    ..track
                },
            );
            lifetimes.insert(lifetime, track);
            let of_service = self.by_service.entry(backend.service.clone()).or_default();
            of_service.push(lifetime);
        }
        self.lifetimes = lifetimes;
    }

    /// Gives the server for a request and counts it as in flight there.
    ///
    /// The least loaded server wins; distance, warm-up and suspicion count as
    /// load. Suspicion counts in full only for as many servers as leave the
    /// service its minimum share, the most suspect ones.
    pub fn choose(&mut self, now_ms: u64, request: &ChoiceRequest<'_>) -> Option<Choice> {
        let of_service = self.by_service.get(request.service)?;
        let candidates: Vec<(u64, f64)> = of_service
            .iter()
            .filter(|lifetime| !request.excluded.contains(lifetime))
            .filter_map(|lifetime| {
                let track = self.lifetimes.get(lifetime)?;
                let is_ready = track.backend.state == ports::BackendState::Ready;
                is_ready.then(|| {
                    let suspicion = track.suspicion.probability(&self.config, now_ms);
                    (*lifetime, suspicion)
                })
            })
            .collect();
        let avoided = self.avoided(&candidates);
        let is_troubled = self.is_troubled(now_ms, request.service);
        let best = candidates
            .iter()
            .filter_map(|&(lifetime, suspicion)| {
                let is_avoided = avoided.contains(&lifetime);
                let must_be_used = is_troubled && self.is_unused(now_ms, lifetime, request.draw);
                let counted = if must_be_used {
                    0.0
                } else if is_avoided || suspicion < SUSPECT_PROBABILITY {
                    suspicion
                } else {
                    suspicion * SPARED_SUSPICION
                };
                let cost = self.cost(now_ms, lifetime, counted, request)?;
                let is_probe = must_be_used && suspicion >= SUSPECT_PROBABILITY;
                Some((cost, lifetime, suspicion, is_probe))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let (_, lifetime, suspicion, is_probe) = best;
        let in_flight = self.in_flight(now_ms, lifetime);
        let track = self.lifetimes.get_mut(&lifetime)?;
        track.in_flight += 1;
        track.last_used_ms = now_ms;
        Some(Choice {
            backend: sync::Arc::clone(&track.backend),
            candidate_count: candidates.len(),
            in_flight,
            is_near: request.region == track.backend.region,
            is_probe,
            lifetime,
            suspicion,
        })
    }

    /// Notes that a request has left a server.
    pub fn note_end(&mut self, lifetime: u64) {
        if let Some(track) = self.lifetimes.get_mut(&lifetime) {
            track.in_flight = track.in_flight.saturating_sub(1);
        }
    }

    /// Notes what a request of this VM says of its server. What became of a
    /// probe says nothing of how the service's requests fare. Gives whether other
    /// VMs should learn of it at once; good answers go with the next report.
    pub fn note_evidence(
        &mut self,
        now_ms: u64,
        lifetime: u64,
        evidence: gateway::Evidence,
        is_probe: bool,
    ) -> bool {
        let Some(track) = self.lifetimes.get_mut(&lifetime) else {
            return false;
        };
        track.suspicion.note(&self.config, now_ms, evidence, 1);
        let is_good = evidence == gateway::Evidence::Success;
        if is_good {
            track.new_successes += 1;
        }
        let service = track.backend.service.clone();
        if !is_probe {
            self.note_trouble(now_ms, &service, !is_good, 1);
        }
        !is_good
    }

    /// Notes how long an answered request ran, and gives what that says of
    /// its server.
    pub fn note_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence {
        let mean_ms = self
            .run_time_ms
            .entry(service.to_owned())
            .or_insert(FIRST_RUN_TIME_MS);
        let is_slow = run_ms > *mean_ms * self.config.slow_factor;
        let sample_ms = run_ms.min(*mean_ms * self.config.slow_factor);
        *mean_ms += (sample_ms - *mean_ms) * RUN_TIME_GAIN;
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
        known.copied().unwrap_or(FIRST_RUN_TIME_MS)
    }

    /// Notes that a server refused a request because it was full.
    pub fn note_shed(&mut self, now_ms: u64, lifetime: u64) {
        if let Some(track) = self.lifetimes.get_mut(&lifetime) {
            track.shed_ms = Some(now_ms);
        }
    }

    /// Notes that no connection to a server could be made.
    pub fn note_unreachable(&mut self, now_ms: u64, lifetime: u64) {
        if let Some(track) = self.lifetimes.get_mut(&lifetime) {
            track.unreachable_until_ms = now_ms + UNREACHABLE_MS;
        }
    }

    /// Takes in another VM's report.
    pub fn note_report(&mut self, now_ms: u64, from: net::SocketAddr, report: LoadReport) {
        for (lifetime, count) in &report.successes {
            let success = gateway::Evidence::Success;
            let count = (*count).min(MAX_REPORTED_SUCCESSES);
            self.note_peer_evidence(now_ms, *lifetime, success, count, false);
        }
        for (lifetime, _) in &report.in_flight {
            if let Some(track) = self.lifetimes.get_mut(lifetime) {
                track.last_used_ms = now_ms;
            }
        }
        let load = PeerLoad {
            at_ms: now_ms,
            in_flight: report.in_flight.into_iter().collect(),
        };
        self.reports.insert(from, load);
        self.reports
            .retain(|_, load| load.at_ms + REPORT_MAX_AGE_MS > now_ms);
    }

    /// Notes what another VM's requests say of their server.
    pub fn note_peer_evidence(
        &mut self,
        now_ms: u64,
        lifetime: u64,
        evidence: gateway::Evidence,
        count: u32,
        is_probe: bool,
    ) {
        let Some(track) = self.lifetimes.get_mut(&lifetime) else {
            return;
        };
        track.suspicion.note(&self.config, now_ms, evidence, count);
        track.last_used_ms = now_ms;
        let service = track.backend.service.clone();
        let is_failure = evidence != gateway::Evidence::Success;
        if !is_probe {
            self.note_trouble(now_ms, &service, is_failure, count);
        }
    }

    /// Gives this VM's report, and begins the next one.
    #[must_use]
    pub fn take_report(&mut self) -> LoadReport {
        let proven = self
            .lifetimes
            .iter_mut()
            .filter(|(_, track)| track.new_successes > 0);
        let successes = proven
            .map(|(lifetime, track)| (*lifetime, std::mem::take(&mut track.new_successes)))
            .collect();
        let busy = self
            .lifetimes
            .iter()
            .filter(|(_, track)| track.in_flight > 0);
        LoadReport {
            in_flight: busy
                .map(|(lifetime, track)| (*lifetime, track.in_flight))
                .collect(),
            successes,
        }
    }

    /// Tells whether so many of a service's requests fail that its minimum
    /// share of servers must be seen in use.
    fn is_troubled(&self, now_ms: u64, service: &str) -> bool {
        let trouble = self.services.get(service);
        trouble.is_some_and(|trouble| trouble.is_troubled(now_ms))
    }

    fn is_unused(&self, now_ms: u64, lifetime: u64, draw: f64) -> bool {
        let track = self.lifetimes.get(&lifetime);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a draw is between 0 and 1"
        )]
        let spread_ms = (draw * UNUSED_SPREAD_MS) as u64;
        track.is_some_and(|track| {
            track.in_flight == 0 && track.last_used_ms + MAX_UNUSED_MS + spread_ms < now_ms
        })
    }

    fn note_trouble(&mut self, now_ms: u64, service: &str, is_failure: bool, count: u32) {
        if !self.services.contains_key(service) {
            let trouble = service_trouble::ServiceTrouble::default();
            self.services.insert(service.to_owned(), trouble);
        }
        self.services[service].note(now_ms, is_failure, count);
    }

    /// Gives the most suspect servers, so many that the others are the
    /// service's minimum share.
    fn avoided(&self, candidates: &[(u64, f64)]) -> Vec<u64> {
        let mut suspects: Vec<(u64, f64)> = candidates
            .iter()
            .copied()
            .filter(|(_, suspicion)| *suspicion >= SUSPECT_PROBABILITY)
            .collect();
        suspects.sort_by(|a, b| b.1.total_cmp(&a.1));
        let most = candidates.len() as u64 * (1_000 - self.min_share_permille) / 1_000;
        suspects.truncate(usize::try_from(most).unwrap_or(0));
        suspects.into_iter().map(|(lifetime, _)| lifetime).collect()
    }

    fn cost(
        &self,
        now_ms: u64,
        lifetime: u64,
        suspicion: f64,
        request: &ChoiceRequest<'_>,
    ) -> Option<f64> {
        let track = self.lifetimes.get(&lifetime)?;
        let backend = &track.backend;
        let is_warming = track.registered_ms + backend.warmup_left_ms > now_ms;
        let warmth = if is_warming { WARMING_SLOTS } else { 1.0 };
        let slots = f64::from(backend.slot_count.max(1)) * warmth;
        let mut cost = f64::from(self.in_flight(now_ms, lifetime)) / slots;
        if backend.region != request.region {
            cost += request.region_cost;
        } else if backend.availability_zone != request.availability_zone {
            cost += request.zone_cost;
        }
        if track
            .shed_ms
            .is_some_and(|at_ms| at_ms + SHED_MEMORY_MS > now_ms)
        {
            cost += SHED_COST;
        }
        if now_ms < track.unreachable_until_ms {
            cost += UNREACHABLE_COST;
        }
        cost += SUSPICION_COST * suspicion;
        Some(cost + TIE_SPREAD * tie_break(lifetime, request.draw))
    }

    fn in_flight(&self, now_ms: u64, lifetime: u64) -> u32 {
        let own = self
            .lifetimes
            .get(&lifetime)
            .map_or(0, |track| track.in_flight);
        let fresh = self.reports.values();
        let fresh = fresh.filter(|load| load.at_ms + REPORT_MAX_AGE_MS > now_ms);
        let others = fresh.filter_map(|load| load.in_flight.get(&lifetime));
        own + others.sum::<u32>()
    }
}

/// Gives a number in `0.0..1.0` that orders lifetimes differently, and evenly,
/// for each draw.
fn tie_break(lifetime: u64, draw: f64) -> f64 {
    let mixed = xxh3::xxh3_64_with_seed(&lifetime.to_le_bytes(), draw.to_bits());
    #[expect(
        clippy::cast_precision_loss,
        reason = "only the order of the numbers matters"
    )]
    let unit = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    unit
}
