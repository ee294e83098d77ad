//! Random runs of many simulated VMs with faults.

use proptest::prelude::Strategy as _;
use proptest::strategy;

use crate::fixtures;
use crate::fleet;

#[derive(Clone, Debug)]
enum Step {
    BadRecord,
    PartitionRegions(u64),
    ForgeBatch(usize),
    ForgeOffset(usize, u64),
    LogDown(u64),
    Race,
    Replace(usize),
    ReplaceAll,
    RollOut,
    Wait(u64),
}

fn step() -> impl strategy::Strategy<Value = Step> {
    use proptest::prelude::any;
    proptest::prop_oneof![
        1 => strategy::Just(Step::BadRecord),
        1 => (1_000_u64..60_000).prop_map(Step::PartitionRegions),
        1 => any::<usize>().prop_map(Step::ForgeBatch),
        1 => any::<(usize, u64)>().prop_map(|(index, offset)| Step::ForgeOffset(index, offset)),
        1 => (1_000_u64..90_000).prop_map(Step::LogDown),
        3 => strategy::Just(Step::Race),
        2 => any::<usize>().prop_map(Step::Replace),
        1 => strategy::Just(Step::ReplaceAll),
        4 => strategy::Just(Step::RollOut),
        6 => (100_u64..20_000).prop_map(Step::Wait),
    ]
}

/// Proposes, signs off and rolls out a bundle as `version` on `base`. Appends each
/// record twice.
pub fn publish(fleet: &mut fleet::Fleet, version: &str, base: Option<&str>) {
    let content = fixtures::bundle(1_000 + fleet.now_ms % 1_000);
    let bodies = [
        fixtures::proposed(version, base, &content),
        fixtures::signed_off(version),
        fixtures::rolled_out(version, base),
    ];
    for (index, body) in bodies.into_iter().enumerate() {
        let record_id = format!("{version}-{index}");
        fleet.append(&record_id, body.clone());
        fleet.append(&record_id, body);
    }
}

fn carry_out(fleet: &mut fleet::Fleet, number: usize, step: &Step) {
    let base = fleet.version_in_force();
    let base = base.as_deref();
    match step {
        Step::BadRecord => {
            fleet.append_raw("{".to_owned());
            let bad = fixtures::proposed(&format!("bad-{number}"), base, "services: 3");
            fleet.append(&format!("bad-{number}"), bad);
        }
        Step::PartitionRegions(duration_ms) => fleet.partition_regions(*duration_ms),
        Step::ForgeBatch(index) => fleet.forge_batch(*index % 1_000),
        Step::ForgeOffset(index, offset) => fleet.forge_offset(*index % 1_000, *offset),
        Step::LogDown(duration_ms) => fleet.interrupt_log(*duration_ms),
        Step::Race => {
            publish(fleet, &format!("one-{number}"), base);
            publish(fleet, &format!("two-{number}"), base);
        }
        Step::Replace(index) => fleet.replace(*index % 1_000),
        Step::ReplaceAll => fleet.replace_all(),
        Step::RollOut => publish(fleet, &format!("v-{number}"), base),
        Step::Wait(duration_ms) => fleet.run(*duration_ms),
    }
    fleet.run(fleet::STEP_MS);
}

/// Reads the number of runs from `PROPTEST_CASES` and the seed from
/// `PROPTEST_RNG_SEED`.
fn config() -> proptest::test_runner::Config {
    let read = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    proptest::test_runner::Config {
        cases: u32::try_from(read("PROPTEST_CASES", 48)).unwrap_or(u32::MAX),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(read("PROPTEST_RNG_SEED", 20_261_204)),
        ..proptest::test_runner::Config::default()
    }
}

proptest::proptest! {
    #![proptest_config(config())]

    /// Lost, late, duplicated and forged messages, faults of the log or the region
    /// link and replaced VMs must not make VMs diverge or miss a roll-out.
    #[test]
    fn vms_agree_and_never_revert_to_an_older_bundle(
        seed in proptest::prelude::any::<u64>(),
        steps in proptest::collection::vec(step(), 10..60),
    ) {
        let mut fleet = fleet::Fleet::new(seed);
        for (number, step) in steps.iter().enumerate() {
            carry_out(&mut fleet, number, step);
        }
        fleet.converge();
    }
}

/// If records expire before a checkpoint covers them, new VMs cannot rebuild the
/// state.
#[test]
fn state_survives_log_retention_and_replacement_of_every_vm() {
    let mut fleet = fleet::Fleet::new(7);
    publish(&mut fleet, "one", None);
    for _ in 0..6 {
        fleet.run(fleet::RETENTION_MS);
        assert!(
            fleet.is_log_sufficient(),
            "a checkpoint covers the expired records"
        );
        fleet.replace_all();
        fleet.converge();
    }
    let mut vms = fleet.vms.values();
    assert!(
        vms.all(|vm| vm.replicator.is_ready()),
        "every new VM is ready"
    );
}

/// While the log is down, a new VM must receive the state from its peers, even after
/// all VMs that have read the log are replaced.
#[test]
fn log_outage_of_hours_loses_no_configuration() {
    const HOUR_MS: u64 = 3_600_000;
    let mut fleet = fleet::Fleet::new(11);
    publish(&mut fleet, "one", None);
    fleet.converge();
    fleet.interrupt_log(6 * HOUR_MS);
    fleet.step_ms = 1_000;
    for _ in 0..fleet.vms.len() {
        fleet.run(HOUR_MS / 2 - 60_000);
        fleet.replace(0);
    }
    fleet.run(60_000);
    for (id, vm) in &fleet.vms {
        assert!(
            vm.replicator.is_ready(),
            "{id} serves with the state of its peers"
        );
        assert_eq!(vm.replicator.fold().in_force().unwrap().version, "one");
    }
    fleet.step_ms = fleet::STEP_MS;
    fleet.converge();
    publish(&mut fleet, "two", Some("one"));
    fleet.converge();
    assert_eq!(fleet.version_in_force().unwrap(), "two");
}
