//! Time until a roll-out is in force on every VM, and number of records that are
//! sent between regions. Prints the figures and checks the time against the target.

use crate::fleet;
use crate::random_runs;

/// Time within which a rolled-out bundle must be in force on every VM, in
/// milliseconds.
const TARGET_MS: u64 = 12_000;
const ROLL_OUT_COUNT: usize = 40;

#[test]
fn roll_out_is_in_force_on_every_vm_within_the_target() {
    println!("vms, p50_ms, p90_ms, max_ms, crossings_per_record");
    for vm_count in [12, 36, 72] {
        let mut fleet = fleet::Fleet::with_vms(20_261_204, vm_count);
        fleet.run(TARGET_MS);
        let mut times_ms = Vec::new();
        for number in 0..ROLL_OUT_COUNT {
            times_ms.push(roll_out(&mut fleet, number));
            fleet.run(777);
        }
        times_ms.sort_unstable();
        let at = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
        let hundredths = fleet.cross_region_record_count * 100 / fleet.record_count();
        let (whole, part) = (hundredths / 100, hundredths % 100);
        println!(
            "{vm_count}, {}, {}, {}, {whole}.{part:02}",
            at(50),
            at(90),
            at(100)
        );
        assert!(
            at(100) <= TARGET_MS,
            "the slowest roll-out takes {} ms",
            at(100)
        );
    }
}

/// Rolls out a bundle and returns the time until it is in force on every VM, in
/// milliseconds.
fn roll_out(fleet: &mut fleet::Fleet, number: usize) -> u64 {
    let base = fleet.version_in_force();
    random_runs::publish(fleet, &format!("v-{number}"), base.as_deref());
    let since_ms = fleet.now_ms;
    while !fleet.has_converged() {
        fleet.run(fleet::STEP_MS);
    }
    fleet.now_ms - since_ms
}
