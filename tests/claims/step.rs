//! The steps of a randomised run.

use proptest::prelude::*;

/// Step of a randomised run. Indexes are taken modulo the number of items.
#[derive(Clone, Debug)]
pub enum Step {
    Attempt {
        deadline_ms: u64,
        key: usize,
        other_request: bool,
        vm: usize,
    },
    Cancel {
        attempt: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Deliver {
        keep_copy: bool,
        message: usize,
    },
    HomeFails {
        attempt: usize,
        vm: usize,
    },
    Finish {
        outcome: u8,
        run: usize,
    },
    Heal,
    Leave {
        vm: usize,
    },
    DropMessage {
        message: usize,
    },
    NewKey {
        home: usize,
        witness: usize,
    },
    AdvanceTime {
        ms: u64,
        tick: bool,
    },
    Pause {
        vm: usize,
    },
    Refuse {
        key: usize,
    },
    Restart {
        vm: usize,
    },
    Resume,
}

pub const VM_COUNT: usize = 3;

fn vm() -> impl Strategy<Value = usize> {
    0..VM_COUNT
}

/// Returns a strategy for all steps. Deliveries and attempts are the most
/// frequent.
pub fn any_step() -> impl Strategy<Value = Step> {
    let any = proptest::arbitrary::any::<usize>;
    prop_oneof![
        8 => (vm(), any(), prop::bool::weighted(0.1), 20..300_u64).prop_map(
            |(vm, key, other_request, deadline_ms)| Step::Attempt { deadline_ms, key, other_request, vm }
        ),
        1 => any().prop_map(|attempt| Step::Cancel { attempt }),
        1 => (vm(), vm()).prop_map(|(from, to)| Step::Cut { from, to }),
        24 => (any(), prop::bool::weighted(0.2)).prop_map(|(message, keep_copy)| Step::Deliver { keep_copy, message }),
        2 => (vm(), any()).prop_map(|(vm, attempt)| Step::HomeFails { attempt, vm }),
        5 => (any(), 0..6_u8).prop_map(|(run, outcome)| Step::Finish { outcome, run }),
        1 => Just(Step::Heal),
        1 => vm().prop_map(|vm| Step::Leave { vm }),
        2 => any().prop_map(|message| Step::DropMessage { message }),
        3 => (vm(), vm()).prop_map(|(home, witness)| Step::NewKey { home, witness }),
        4 => (1..60_u64, proptest::arbitrary::any::<bool>()).prop_map(|(ms, tick)| Step::AdvanceTime { ms, tick }),
        1 => (200..1_500_u64, proptest::arbitrary::any::<bool>()).prop_map(|(ms, tick)| Step::AdvanceTime { ms, tick }),
        1 => vm().prop_map(|vm| Step::Pause { vm }),
        2 => any().prop_map(|key| Step::Refuse { key }),
        1 => vm().prop_map(|vm| Step::Restart { vm }),
        1 => Just(Step::Resume),
    ]
}
