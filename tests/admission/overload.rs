//! Tests of goodput during and after overload, with the simulated fleet of the
//! examples.

use crate::cases;
use crate::simulation::fleet;
use crate::simulation::scenario;
use crate::simulation::tally;

const SEED: u64 = 20_261_204;
const SHAPE: cases::Shape = cases::Shape {
    name: "small",
    server_count: 8,
    slot_count: 2,
};
const SWEEP_S: usize = 10;
const TIMELINE: cases::Timeline = cases::Timeline {
    end_s: 30,
    fault_s: (5, 12),
};
/// Time within which goodput must recover after the fault ends, in seconds.
const RECOVERY_S: usize = 10;

#[test]
fn goodput_at_twice_the_capacity_stays_above_nine_tenths_of_its_peak() {
    for callers in cases::CALLERS {
        let goodputs = cases::sweep(SHAPE, callers, SWEEP_S, SEED);
        let peak = goodputs.iter().map(|(_, goodput)| *goodput).max();
        let (load_percent, goodput) = goodputs[goodputs.len() - 1];
        assert_eq!(load_percent, 200);
        let enough = goodput * 10 >= peak.unwrap_or(0) * 9;
        assert!(enough, "{callers:?}: {goodputs:?}");
    }
}

/// Returns the goodput before the fault and after the recovery time, in
/// requests per second.
fn goodput_before_and_after(tally: &tally::Tally) -> (u64, u64) {
    let before = tally.answered_per_s(1, TIMELINE.fault_s.0);
    let recovered_s = TIMELINE.fault_s.1 + RECOVERY_S;
    (before, tally.answered_per_s(recovered_s, TIMELINE.end_s))
}

#[test]
fn goodput_and_new_callers_recover_after_the_load_falls_or_a_zone_returns() {
    for callers in cases::CALLERS {
        for case in [cases::load_falls, cases::zone_returns] {
            let (name, scenario) = case(SHAPE, callers, TIMELINE, SEED);
            let tally = fleet::Fleet::run(&scenario);
            let (before, after) = goodput_before_and_after(&tally);
            let recovered = after * 10 >= before * 9;
            assert!(recovered, "{name} {callers:?}: {before} then {after}");
            let recovered_s = TIMELINE.fault_s.1 + RECOVERY_S;
            let first = tally.first_answered_permille(recovered_s, TIMELINE.end_s);
            assert!(first >= 900, "{name} {callers:?}: {first}");
        }
    }
}

/// Checks that the tests above can fail: without admission control, immediate
/// retries of the callers keep the fleet overloaded.
#[test]
fn without_admission_control_retries_prevent_recovery() {
    let callers = scenario::Callers::SendAgain;
    let (_, mut scenario) = cases::load_falls(SHAPE, callers, TIMELINE, SEED);
    scenario.has_overload_protection = false;
    let tally = fleet::Fleet::run(&scenario);
    let (before, after) = goodput_before_and_after(&tally);
    assert!(after * 10 < before, "{before} then {after}");
}
