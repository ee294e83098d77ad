//! Long randomised runs of the unchanged fleet and of each mutant.

use std::cell;

use proptest::strategy::Strategy as _;
use proptest::test_runner;
use proptest_state_machine::ReferenceStateMachine as _;

use crate::fleet;
use crate::mutant;
use crate::step;

const SEED: u64 = 20_261_204;
const CASES: u32 = 1_500;
const MUTANT_CASES: u32 = 20_000;

/// Any step may follow any other, so that faults overlap and repeat.
struct AnySteps;

impl proptest_state_machine::ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = step::Step;

    fn init_state() -> proptest::strategy::BoxedStrategy<()> {
        proptest::strategy::Just(()).boxed()
    }

    fn transitions((): &()) -> proptest::strategy::BoxedStrategy<step::Step> {
        step::any_step().boxed()
    }

    fn apply((): (), _: &step::Step) {}
}

struct FleetTest;

impl proptest_state_machine::StateMachineTest for FleetTest {
    type Reference = AnySteps;
    type SystemUnderTest = fleet::Fleet;

    fn init_test((): &()) -> fleet::Fleet {
        fleet::Fleet::new(fleet::small_config(), None)
    }

    fn apply(mut fleet: fleet::Fleet, (): &(), step: step::Step) -> fleet::Fleet {
        fleet.apply(&step);
        fleet
    }

    fn check_invariants(fleet: &fleet::Fleet, (): &()) {
        assert_eq!(fleet.ledger.violation, None);
    }

    fn teardown(mut fleet: fleet::Fleet, (): ()) {
        fleet.run_to_completion();
        assert_eq!(fleet.ledger.violation, None);
    }
}

fn config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

/// Returns the number of cases for the unchanged fleet; `PROPTEST_CASES`
/// overrides it.
fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    cases.unwrap_or(CASES)
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config(cases()))]

    #[test]
    fn no_key_runs_twice_or_after_not_run(sequential 1..160 => FleetTest);
}

/// Returns the first violation that the same random steps cause with a mutant.
fn violation_of(mutant: mutant::Mutant, cases: u32) -> Option<String> {
    let strategy = AnySteps::sequential_strategy(1..160);
    let mut runner = test_runner::TestRunner::new(test_runner::Config {
        max_shrink_iters: 0,
        ..config(cases)
    });
    let run_count = cell::Cell::new(0);
    let result = runner.run(&strategy, |((), steps, _)| {
        run_count.set(run_count.get() + 1);
        let mut fleet = fleet::Fleet::new(fleet::small_config(), Some(mutant));
        for step in &steps {
            fleet.apply(step);
            if let Some(violation) = &fleet.ledger.violation {
                return Err(test_runner::TestCaseError::fail(violation.clone()));
            }
        }
        Ok(())
    });
    println!("{mutant:?}: {} fleets", run_count.get());
    match result {
        Ok(()) => None,
        Err(test_runner::TestError::Fail(reason, _)) => Some(reason.message().to_owned()),
        Err(test_runner::TestError::Abort(reason)) => panic!("aborted: {reason}"),
    }
}

/// Fails unless the runs detect the mutant by a violation of at-most-once
/// execution, rather than by another check of the fleet.
fn assert_detected(mutant: mutant::Mutant) {
    let violation = violation_of(mutant, MUTANT_CASES);
    let violation = violation.unwrap_or_else(|| panic!("{mutant:?} was not detected"));
    let broken =
        violation.ends_with("started twice") || violation.ends_with("was reported as not run");
    assert!(broken, "{mutant:?} detected by another check: {violation}");
}

#[test]
fn mutant_entry_refuses_is_detected() {
    assert_detected(mutant::Mutant::EntryRefuses);
}

#[test]
fn mutant_eviction_forgets_is_detected() {
    assert_detected(mutant::Mutant::EvictionForgets);
}

#[test]
fn mutant_hand_over_closes_is_detected() {
    assert_detected(mutant::Mutant::HandOverCloses);
}

#[test]
fn mutant_late_grant_runs_is_detected() {
    assert_detected(mutant::Mutant::LateGrantRuns);
}

#[test]
fn mutant_refusal_leaves_open_is_detected() {
    assert_detected(mutant::Mutant::RefusalLeavesOpen);
}

#[test]
fn mutant_witness_ignores_incarnation_is_detected() {
    assert_detected(mutant::Mutant::WitnessIgnoresIncarnation);
}

#[test]
fn mutant_witness_runs_is_detected() {
    assert_detected(mutant::Mutant::WitnessRuns);
}
