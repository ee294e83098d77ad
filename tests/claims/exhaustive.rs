//! Exhaustive search over every order of events for one key, on the production
//! state machines. Messages may be lost, delayed, duplicated and reordered.
//! Home and witness may each restart once. Claims and attempts may time out,
//! tables may be evicted and the home may leave at any step.

use std::collections;
use std::fmt::Write as _;

use xxhash_rust::xxh3;

use crate::fleet;
use crate::mutant;
use crate::step;

const HOME: usize = 0;
const WITNESS: usize = 1;
const ENTRY: usize = 2;
/// Time step that is longer than the claim timeout.
const AFTER_CLAIM_TIMEOUT_MS: u64 = 60;
/// Time step that is longer than the prefix lifetime plus the retention time.
const AFTER_EVICTION_MS: u64 = 900;

/// Number of events of each kind that may still happen.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    attempts: usize,
    evictions: usize,
    claim_timeouts: usize,
    home_restarts: usize,
    leaves: usize,
    refusals: usize,
    witness_restarts: usize,
}

/// State of the search.
#[derive(Clone)]
struct Node {
    budget: Budget,
    fleet: fleet::Fleet,
}

impl Node {
    fn new(budget: Budget, mutant: Option<mutant::Mutant>) -> Self {
        let mut fleet = fleet::Fleet::new(fleet::small_config(), mutant);
        fleet.is_exhaustive_search = true;
        fleet.new_key(HOME, WITNESS);
        Self { budget, fleet }
    }

    fn digest(&self) -> u128 {
        let [home, witness, entry] = &self.fleet.vms[..] else {
            panic!("the fleet must have three VMs");
        };
        let mut text = format!("{:?}{:?}", self.budget, self.fleet.ledger);
        write!(text, "{:?}{:?}", home.home, home.runs).expect("a string");
        write!(text, "{:?}{:?}", witness.witness, entry.entry).expect("a string");
        let messages = self.fleet.network.iter().map(|envelope| {
            let text = format!("{envelope:?}");
            xxh3::xxh3_128(text.as_bytes())
        });
        // The network is a set, so the digest must not depend on message order.
        messages.fold(xxh3::xxh3_128(text.as_bytes()), u128::wrapping_add)
    }

    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for message in 0..self.fleet.network.len() {
            successors.push(self.after(&step::Step::Deliver {
                keep_copy: true,
                message,
            }));
        }
        for attempt in 0..self.fleet.vms[ENTRY].entry_fingerprints.len() {
            successors.push(self.after(&step::Step::HomeFails { attempt, vm: ENTRY }));
        }
        successors.push(self.after(&step::Step::Finish { outcome: 4, run: 0 }));
        successors.extend(self.after_within_budget(|budget| &mut budget.attempts, &attempt()));
        successors.extend(self.after_within_budget(
            |budget| &mut budget.evictions,
            &advance_time(AFTER_EVICTION_MS),
        ));
        successors.extend(self.after_within_budget(
            |budget| &mut budget.claim_timeouts,
            &advance_time(AFTER_CLAIM_TIMEOUT_MS),
        ));
        let restart = step::Step::Restart { vm: HOME };
        successors.extend(self.after_within_budget(|budget| &mut budget.home_restarts, &restart));
        let leave = step::Step::Leave { vm: HOME };
        successors.extend(self.after_within_budget(|budget| &mut budget.leaves, &leave));
        let refuse = step::Step::Refuse { key: 0 };
        successors.extend(self.after_within_budget(|budget| &mut budget.refusals, &refuse));
        let restart = step::Step::Restart { vm: WITNESS };
        successors
            .extend(self.after_within_budget(|budget| &mut budget.witness_restarts, &restart));
        successors
    }

    fn after(&self, step: &step::Step) -> Self {
        let mut node = self.clone();
        node.fleet.apply(step);
        node
    }

    fn after_within_budget(
        &self,
        remaining: impl Fn(&mut Budget) -> &mut usize,
        step: &step::Step,
    ) -> Option<Self> {
        let mut budget = self.budget;
        let remaining = remaining(&mut budget);
        *remaining = remaining.checked_sub(1)?;
        let fleet = self.after(step).fleet;
        Some(Self { budget, fleet })
    }
}

const fn attempt() -> step::Step {
    step::Step::Attempt {
        deadline_ms: 400,
        key: 0,
        other_request: false,
        vm: ENTRY,
    }
}

const fn advance_time(ms: u64) -> step::Step {
    step::Step::AdvanceTime { ms, tick: true }
}

/// Returns the number of states and the first violation.
fn search(budget: Budget, mutant: Option<mutant::Mutant>) -> (usize, Option<String>) {
    let first = Node::new(budget, mutant);
    let mut seen = collections::HashSet::from([first.digest()]);
    let mut queue = collections::VecDeque::from([first]);
    while let Some(node) = queue.pop_front() {
        for next in node.successors() {
            if next.fleet.ledger.violation.is_some() {
                return (seen.len(), next.fleet.ledger.violation);
            }
            if seen.insert(next.digest()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

/// Searches all orders within the budget, prints the number of states and fails
/// on a violation.
fn assert_at_most_once(budget: Budget) {
    let (state_count, violation) = search(budget, None);
    println!("{budget:?}: {state_count} states");
    assert_eq!(violation, None);
}

#[test]
fn every_order_runs_at_most_once_with_restarts() {
    assert_at_most_once(Budget {
        attempts: 1,
        home_restarts: 1,
        refusals: 1,
        witness_restarts: 1,
        ..Budget::default()
    });
}

#[test]
fn every_order_runs_at_most_once_with_two_attempts() {
    assert_at_most_once(Budget {
        attempts: 2,
        home_restarts: 1,
        ..Budget::default()
    });
}

#[test]
fn every_order_runs_at_most_once_with_refusals_and_time_outs() {
    assert_at_most_once(Budget {
        attempts: 1,
        claim_timeouts: 1,
        refusals: 1,
        witness_restarts: 1,
        ..Budget::default()
    });
}

#[test]
fn every_order_runs_at_most_once_with_evictions() {
    assert_at_most_once(Budget {
        attempts: 1,
        evictions: 1,
        witness_restarts: 1,
        ..Budget::default()
    });
}

#[test]
fn every_order_runs_at_most_once_with_a_leaving_home() {
    assert_at_most_once(Budget {
        attempts: 1,
        claim_timeouts: 1,
        home_restarts: 1,
        leaves: 1,
        ..Budget::default()
    });
}

/// The environment variable `CLAIMS_SEARCH` sets the budget, as numbers separated by
/// commas in the order of the fields of [`Budget`]. A large budget takes minutes in a
/// release build.
#[test]
fn every_order_runs_at_most_once_in_the_wide_search() {
    let text = std::env::var("CLAIMS_SEARCH").unwrap_or_else(|_| "1,0,1,1,0,0,1".to_owned());
    let counts: Vec<usize> = text
        .split(',')
        .filter_map(|count| count.parse().ok())
        .collect();
    let [
        attempts,
        evictions,
        claim_timeouts,
        home_restarts,
        leaves,
        refusals,
        witness_restarts,
    ] = counts[..]
    else {
        panic!("CLAIMS_SEARCH must have seven numbers");
    };
    assert_at_most_once(Budget {
        attempts,
        evictions,
        claim_timeouts,
        home_restarts,
        leaves,
        refusals,
        witness_restarts,
    });
}
