//! Requests of a scenario.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;
use rand_distr::Distribution as _;

use crate::replay;
use crate::replay::caller_request;
use crate::replay::service_shape;

const MILLISECONDS_PER_S: f64 = 1_000.0;

/// Generates the requests of all services of a scenario and assigns each to an
/// entry VM. The requests depend on the seed, not on the policy.
pub(super) fn requests(
    scenario: &replay::Scenario,
    seed: u64,
    vm_count: usize,
) -> Vec<caller_request::CallerRequest> {
    let services = scenario.services.iter().enumerate();
    services
        .flat_map(|(index, service)| service_requests(scenario, seed, vm_count, index, service))
        .collect()
}

fn service_requests(
    scenario: &replay::Scenario,
    seed: u64,
    vm_count: usize,
    index: usize,
    service: &service_shape::ServiceShape,
) -> Vec<caller_request::CallerRequest> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
    let spread = service.run_spread;
    let mean_log = service.run_mean_ms.ln() - spread * spread / 2.0;
    let Ok(run_time) = rand_distr::LogNormal::new(mean_log, spread) else {
        return Vec::new();
    };
    let max_rate_per_s = service.requests_per_s * max_burst_factor(scenario, &service.name);
    let Ok(gap) = rand_distr::Exp::new(max_rate_per_s / MILLISECONDS_PER_S) else {
        return Vec::new();
    };
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += gap.sample(&mut rng);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a scenario lasts minutes"
        )]
        let first_sent_ms = at_ms as u64;
        let (vm, run_ms) = (rng.random_range(0..vm_count), run_time.sample(&mut rng));
        let acceptance: f64 = rng.random();
        if first_sent_ms >= scenario.length_s * 1_000 {
            return requests;
        }
        // Arrivals are sampled at the highest rate; each is kept with the probability
        // that gives the current rate.
        let rate_per_s =
            service.requests_per_s * burst_factor(scenario, first_sent_ms, &service.name);
        if acceptance < rate_per_s / max_rate_per_s {
            requests.push(caller_request::CallerRequest {
                attempt_count: 0,
                first_sent_ms,
                current_attempt: None,
                used_probe: false,
                is_over: false,
                deadline_ms: first_sent_ms + service.timeout_ms,
                may_have_run: false,
                run_ms,
                sent_count: 0,
                sent_ms: first_sent_ms,
                service: index,
                tried_incarnations: Vec::new(),
                vm,
            });
        }
    }
}

fn bursts(scenario: &replay::Scenario) -> impl Iterator<Item = &replay::Disturbance> {
    let disturbances = scenario.disturbances.iter();
    disturbances.filter(|disturbance| disturbance.kind == replay::DisturbanceKind::Burst)
}

/// Returns the product of the strengths of the bursts that are active at `now_ms`.
fn burst_factor(scenario: &replay::Scenario, now_ms: u64, service: &str) -> f64 {
    let active = bursts(scenario).filter(|disturbance| disturbance.affects(now_ms, service));
    active.map(|disturbance| disturbance.strength).product()
}

/// Returns an upper bound of `burst_factor` over the whole scenario.
fn max_burst_factor(scenario: &replay::Scenario, service: &str) -> f64 {
    let of_service = bursts(scenario).filter(|disturbance| {
        disturbance
            .service
            .as_deref()
            .is_none_or(|name| name == service)
    });
    of_service
        .map(|disturbance| disturbance.strength.max(1.0))
        .product()
}
