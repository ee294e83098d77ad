//! Compares policies for the choice of a backend server under the same load.
//!
//! `cargo run --release --example choosing_a_server [SEED [SERVICE]]` prints
//! CSV; shares are in permille.

#[path = "choosing_a_server/mod.rs"]
#[allow(dead_code, reason = "other examples and tests use the rest")]
mod simulation;

use std::env;
use std::error;

use simulation::fleet;
use simulation::scenario;
use simulation::tally;

const DEADLINE_MS: u64 = 500;
const DEFAULT_SEED: u64 = 20_261_204;
const DURATION_S: u64 = 30;
const LOADS_PERCENT: [u64; 4] = [50, 80, 95, 120];
const MEAN_RUN_MS: u64 = 20;
/// Names, numbers of servers and slots per server of the services.
const SERVICES: [(&str, usize, u32); 6] = [
    ("bei", 10, 6),
    ("agizo", 15, 6),
    ("orodha", 8, 6),
    ("vitrina", 9, 2),
    ("caja", 12, 2),
    ("revelado", 8, 2),
];
const VM_COUNT: usize = 32;

fn main() -> Result<(), Box<dyn error::Error>> {
    let seed = match env::args().nth(1) {
        Some(seed) => seed.parse()?,
        None => DEFAULT_SEED,
    };
    let service_filter = env::args().nth(2);
    println!(
        "seed {seed}, {DURATION_S} s of virtual time a line, deadline {DEADLINE_MS} ms, mean run time {MEAN_RUN_MS} ms (log-normal, sigma 1)"
    );
    println!(
        "service,load_percent,policy,added_p50_us,added_p99_us,collisions_permille,shed_permille,goodput_permille,fairness_permille,fallbacks"
    );
    for service in SERVICES {
        if service_filter
            .as_deref()
            .is_some_and(|name| name != service.0)
        {
            continue;
        }
        for load_percent in LOADS_PERCENT {
            for policy in scenario::Policy::ALL {
                let scenario = scenario(service, load_percent, policy, seed);
                print_line(service.0, policy.name(), &scenario);
            }
            let policy = scenario::Policy::Dispatcher;
            let mut with_outage = scenario(service, load_percent, policy, seed);
            with_outage.dispatcher_outage_s = Some((10, 20));
            print_line(service.0, "dispatcher-lost-10-s", &with_outage);
        }
    }
    Ok(())
}

fn scenario(
    (_, server_count, slot_count): (&str, usize, u32),
    load_percent: u64,
    policy: scenario::Policy,
    seed: u64,
) -> scenario::Scenario {
    scenario::Scenario {
        attempts: 1,
        callers: scenario::Callers::GiveUp,
        deadline_ms: DEADLINE_MS,
        dispatcher_outage_s: None,
        has_overload_protection: true,
        mean_run_ms: MEAN_RUN_MS,
        phases: vec![scenario::Phase {
            duration_s: DURATION_S,
            load_percent,
        }],
        policy,
        seed,
        server_count,
        slot_count,
        vm_count: VM_COUNT,
        zone_outage_s: None,
    }
}

fn print_line(service: &str, policy: &str, scenario: &scenario::Scenario) {
    let tally = fleet::Fleet::run(scenario);
    let load_percent = scenario.phases[0].load_percent;
    let p50_us = tally.added_us.value_at_quantile(0.5);
    let p99_us = tally.added_us.value_at_quantile(0.99);
    let collisions = tally.collisions * 1_000 / tally.sent.max(1);
    let shed = tally.refused * 1_000 / tally.offered.max(1);
    let goodput = tally.answered() * 1_000 / tally.offered.max(1);
    let fairness = tally.fairness_permille(tally::capacity_requests(scenario));
    let fallbacks = tally.fallbacks;
    println!(
        "{service},{load_percent},{policy},{p50_us},{p99_us},{collisions},{shed},{goodput},{fairness},{fallbacks}"
    );
}
