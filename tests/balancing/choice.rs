//! Comparison of pickers and dispatchers with the simulated fleet of the
//! examples.

use crate::simulation::fleet;
use crate::simulation::scenario;
use crate::simulation::tally;

const SEED: u64 = 20_261_204;

fn run(policy: scenario::Policy, dispatcher_outage_s: Option<(u64, u64)>) -> tally::Tally {
    fleet::Fleet::run(&scenario(policy, dispatcher_outage_s))
}

fn scenario(
    policy: scenario::Policy,
    dispatcher_outage_s: Option<(u64, u64)>,
) -> scenario::Scenario {
    scenario::Scenario {
        attempts: 1,
        callers: scenario::Callers::GiveUp,
        deadline_ms: 500,
        dispatcher_outage_s,
        has_overload_protection: true,
        mean_run_ms: 20,
        phases: vec![scenario::Phase {
            duration_s: 10,
            load_percent: 80,
        }],
        policy,
        seed: SEED,
        server_count: 8,
        slot_count: 2,
        vm_count: 32,
        zone_outage_s: None,
    }
}

#[test]
fn dispatcher_avoids_full_servers_and_answers_more_requests() {
    let with_dispatcher = run(scenario::Policy::Dispatcher, None);
    assert_eq!(with_dispatcher.collisions, 0);
    for policy in scenario::Policy::ALL {
        let tally = run(policy, None);
        assert!(tally.answered() <= with_dispatcher.answered(), "{policy:?}");
    }
}

/// Guards against entry VMs that depend on a lost dispatcher, or do not use it
/// again after its outage.
#[test]
fn lost_dispatcher_falls_back_to_the_picker_only_during_the_outage() {
    let always_lost = run(scenario::Policy::Dispatcher, Some((0, 10)));
    let partly_lost = run(scenario::Policy::Dispatcher, Some((3, 6)));
    let never_lost = run(scenario::Policy::Dispatcher, None);
    assert!(always_lost.fallbacks > partly_lost.fallbacks);
    assert_eq!(never_lost.fallbacks, 0);
    assert!(partly_lost.answered() > always_lost.answered());
    assert!(always_lost.answered() * 2 > always_lost.offered);
}

#[test]
fn greedy_organisation_does_not_reduce_the_share_of_modest_organisations() {
    let mut scenario = scenario(scenario::Policy::Dispatcher, None);
    scenario.phases[0].load_percent = 150;
    let tally = fleet::Fleet::run(&scenario);
    let shares = tally.fair_shares_permille(tally::capacity_requests(&scenario));
    // All organisations but the first request less than their fair share of the
    // capacity.
    let modest = &shares[1..];
    assert!(modest.iter().all(|&share| share >= 900), "{shares:?}");
}
