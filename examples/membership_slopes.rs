//! Measures the traffic and CPU time of membership per VM, and its detection
//! times, by the number of VMs.
//!
//! Prints CSV. Usage: `membership_slopes [vms]...`. The program's membership state
//! machines run in virtual time on a network without loss: first at rest, then
//! with 68,000 restarts per day, then with the loss of one VM, then with a
//! partition between the two regions. Every VM holds about 450 bytes for every
//! other VM, so that a fleet of 7,400 VMs takes about 25 GB.

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/membership/network.rs"]
mod network;

use std::time;

use foxtailwinch::membership;

use crate::network::Network;

const DEFAULT_SIZES: [usize; 4] = [32, 128, 512, 2_048];
const SEED: u64 = 20_261_204;
const WARM_UP_MS: u64 = 20_000;
const MEASURED_S: u64 = 60;
/// Time between restarts in the fleet, in milliseconds: 68,000 restarts per day,
/// regardless of the size of the fleet.
const RESTART_PERIOD_MS: u64 = 1_270;
const DETECTION_LIMIT_S: u64 = 120;
const PARTITION_MS: u64 = 180_000;
const RECOVERY_LIMIT_S: u64 = 900;

fn main() {
    let requested_sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    println!(
        "vms,rest_bytes_per_s,restarts_bytes_per_s,busiest_vm_bytes_per_s,lost_vm_known_to_all_s,regions_met_s,cpu_us_per_vm_s"
    );
    let sizes = if requested_sizes.is_empty() {
        DEFAULT_SIZES.to_vec()
    } else {
        requested_sizes
    };
    for vm_count in sizes {
        measure(vm_count);
    }
}

fn measure(vm_count: usize) {
    let mut network = Network::new(vm_count, SEED);
    network.run(WARM_UP_MS);
    network.reset_counts();
    let started = time::Instant::now();
    network.run(MEASURED_S * 1_000);
    let cpu_us = started.elapsed().as_micros() / u128::from(MEASURED_S) / vm_count as u128;
    let rest_bytes = network.bytes_per_second(MEASURED_S);
    restart_vms(&mut network, vm_count);
    network.reset_counts();
    restart_vms(&mut network, vm_count);
    let restarts_bytes = network.bytes_per_second(MEASURED_S);
    let busiest_bytes = network.busiest_bytes_per_second(MEASURED_S);
    network.run(WARM_UP_MS);
    network.crash(1);
    let detected_s = network.run_until(DETECTION_LIMIT_S, |network| {
        let dead =
            network.count_views(|_, vm, state| vm == 1 && state == membership::MemberState::Dead);
        dead == vm_count - 1
    });
    let detected_s = seconds_text(detected_s);
    let healed_s = seconds_text(measure_partition_recovery(&mut network, vm_count - 1));
    println!(
        "{vm_count},{rest_bytes},{restarts_bytes},{busiest_bytes},{detected_s},{healed_s},{cpu_us}"
    );
}

/// Partitions the regions for `PARTITION_MS`. Returns the time in seconds from the
/// end of the partition until every VM considers every VM alive, or `None` after
/// `RECOVERY_LIMIT_S`.
fn measure_partition_recovery(network: &mut Network, live_count: usize) -> Option<u64> {
    network.cut = Box::new(|from, to| network::region(from) != network::region(to));
    network.run(PARTITION_MS);
    network.cut = Box::new(|_, _| false);
    network.run_until(RECOVERY_LIMIT_S, |network| {
        let alive = network.count_views(|_, _, state| state == membership::MemberState::Alive);
        alive == live_count * live_count
    })
}

fn seconds_text(seconds: Option<u64>) -> String {
    seconds.map_or("missed".to_owned(), |seconds| seconds.to_string())
}

/// Restarts one VM after another; each is down for half a period.
fn restart_vms(network: &mut Network, vm_count: usize) {
    for restart in 0..MEASURED_S * 1_000 / RESTART_PERIOD_MS {
        let vm = usize::try_from(restart).unwrap_or_default() * 7 % vm_count;
        network.crash(vm);
        network.run(RESTART_PERIOD_MS / 2);
        network.join(vm);
        network.run(RESTART_PERIOD_MS / 2);
    }
}
