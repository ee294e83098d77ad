//! Randomised tests of the fleet's retry budget while VMs are killed again and again
//! and callers move between VMs.

use foxtailwinch::gateway;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;
use rand::seq::IteratorRandom as _;

// Limits of the contract.
const WINDOW_MS: u64 = 10_000;
const RATIO_PERMILLE: u64 = 200;
const SLACK_COUNT: u64 = 168;
/// Share of the slack that the VMs distribute among themselves, in thousandths.
const USED_SLACK_MILLI: u64 = 500;
const VMS_COUNT: usize = 12;
/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Requests of callers in each step. With one retry for each request that is refused,
/// some hundred requests a second.
const REQUESTS_PER_STEP: u64 = 4;
/// Maximum time until a restarted VM knows the other VMs, in milliseconds.
const MAX_JOIN_MS: u64 = 1_000;
const HISTORY_MS: u64 = 40_000;

/// One life of a VM's process.
struct Vm {
    budget: gateway::RetryBudget,
    knows_others_ms: u64,
    /// Time until which the process is not running, in milliseconds.
    down_until_ms: u64,
    slack: gateway::SlackShare,
}

impl Vm {
    fn start(now_ms: u64, join_ms: u64) -> Self {
        Self {
            budget: gateway::RetryBudget::new(WINDOW_MS, RATIO_PERMILLE),
            knows_others_ms: now_ms + join_ms,
            down_until_ms: now_ms,
            slack: gateway::SlackShare::new(now_ms, WINDOW_MS, 0),
        }
    }

    fn slack_milli(&mut self, now_ms: u64) -> u64 {
        let is_alone = now_ms < self.knows_others_ms;
        let known_count = if is_alone { 1 } else { VMS_COUNT as u64 };
        let share_milli = SLACK_COUNT * USED_SLACK_MILLI / known_count;
        self.slack.update(now_ms, share_milli)
    }
}

/// Number of retries in a window in excess of what the contract allows.
fn excess(now_ms: u64, requests: &[u64], retries: &[u64]) -> u64 {
    let count = |times: &[u64], end_ms: u64| {
        let from_ms = end_ms.saturating_sub(WINDOW_MS);
        let in_window = times.partition_point(|at_ms| *at_ms <= end_ms);
        in_window - times.partition_point(|at_ms| *at_ms <= from_ms)
    };
    let windows = [0, WINDOW_MS / 2, WINDOW_MS].map(|shift_ms| now_ms.saturating_sub(shift_ms));
    let requests = windows.map(|end_ms| count(requests, end_ms) as u64);
    let most = requests.into_iter().max().unwrap_or(0);
    let allowed = most * RATIO_PERMILLE / 1_000 + SLACK_COUNT;
    (count(retries, now_ms) as u64).saturating_sub(allowed)
}

/// Simulates a fleet whose servers refuse requests from a random time on, with a
/// steady number of requests of callers. `disrupt` may kill VMs, and returns the number of
/// VMs that callers use, from the first on. Returns the largest excess in a window.
fn max_excess(
    seed: u64,
    mut disrupt: impl FnMut(&mut rngs::SmallRng, &mut [Vm], u64) -> usize,
) -> u64 {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut vms: Vec<Vm> = (0..VMS_COUNT).map(|_| Vm::start(0, 0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let refused_share = rng.random_range(0.3..1.0);
    let first_refusal_ms = rng.random_range(WINDOW_MS..2 * WINDOW_MS);
    let mut max_excess = 0;
    for now_ms in (0..HISTORY_MS).step_by(usize::try_from(STEP_MS).expect("a step")) {
        let used_count = disrupt(&mut rng, &mut vms, now_ms);
        for _ in 0..REQUESTS_PER_STEP {
            requests.push(now_ms);
            let running = vms[..used_count].iter_mut();
            let running = running.filter(|vm| vm.down_until_ms <= now_ms);
            let Some(vm) = running.choose(&mut rng) else {
                continue;
            };
            vm.budget.record_request(now_ms);
            let slack_milli = vm.slack_milli(now_ms);
            let is_refused = now_ms >= first_refusal_ms && rng.random_bool(refused_share);
            if is_refused && vm.budget.try_retry(now_ms, slack_milli) {
                retries.push(now_ms);
            }
        }
        max_excess = max_excess.max(excess(now_ms, &requests, &retries));
    }
    assert!(
        retries.len() > 100,
        "seed {seed}: {} retries",
        retries.len()
    );
    max_excess
}

fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("BUDGET_SEEDS").ok();
    0..seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(40)
}

/// Guards against retries that a killed VM made and its next process does not know of
/// (found on a day with two kills of half of all VMs while servers refused).
#[test]
fn vms_that_are_killed_again_and_again_stay_within_the_retry_budget() {
    for seed in seeds() {
        let excess = max_excess(seed, |rng, vms, now_ms| {
            if rng.random_bool(0.003) {
                let killed_share = rng.random_range(0.1..1.0);
                for vm in vms.iter_mut() {
                    if rng.random_bool(killed_share) {
                        let back_ms = now_ms + rng.random_range(300..2_000);
                        *vm = Vm::start(back_ms, rng.random_range(0..MAX_JOIN_MS));
                    }
                }
            }
            VMS_COUNT
        });
        assert!(excess == 0, "seed {seed}: {excess} retries in excess");
    }
}

/// Guards against retries that a VM makes on account of earlier requests, while the VMs
/// that callers have moved to make theirs on account of the present ones.
#[test]
fn callers_that_move_to_other_vms_do_not_exceed_the_retry_budget() {
    for seed in seeds() {
        let mut used_count = VMS_COUNT;
        let excess = max_excess(seed, |rng, vms, _| {
            if rng.random_bool(0.002) {
                used_count = rng.random_range(2..=VMS_COUNT);
                vms.rotate_left(rng.random_range(0..VMS_COUNT));
            }
            used_count
        });
        assert!(excess == 0, "seed {seed}: {excess} retries in excess");
    }
}
