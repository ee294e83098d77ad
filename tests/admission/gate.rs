//! Tests of the service gate and its retry delays.

use foxtailwinch::admission;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;
use proptest::test_runner;

const RNG_SEED: u64 = 20_261_204;

fn gate(capacity: u32, queue_limit_requests: u32) -> admission::ServiceGate {
    let service = bundle::Service {
        queue_limit_requests,
        ..bundle::Service::default()
    };
    let config = configs::admission::AdmissionConfig::default();
    let mut gate = admission::ServiceGate::new(&config, &service, RNG_SEED);
    let concurrent_requests = capacity;
    let event = admission::GateEvent::CapacityChanged {
        concurrent_requests,
    };
    gate.handle(0, event);
    gate
}

fn arrive(organisation: &str, request_id: u64, deadline_ms: u64) -> admission::GateEvent {
    admission::GateEvent::Arrive {
        deadline_ms,
        expected_run_ms: 10,
        organisation: organisation.to_owned(),
        request_id,
    }
}

fn finish(request_id: u64) -> admission::GateEvent {
    admission::GateEvent::Finish { request_id }
}

fn render(now_ms: u64, actions: &[admission::GateAction]) -> String {
    let lines = actions.iter().map(|action| match action {
        admission::GateAction::Admit { request_id } => format!("{now_ms}: admit {request_id}\n"),
        admission::GateAction::Refuse {
            refusal,
            request_id,
        } => {
            let reason = refusal.reason.as_str();
            let verdict = refusal.verdict.as_str();
            format!("{now_ms}: refuse {request_id} {reason} {verdict}\n")
        }
    });
    lines.collect()
}

fn run(
    gate: &mut admission::ServiceGate,
    events: impl IntoIterator<Item = (u64, admission::GateEvent)>,
) -> String {
    let steps = events.into_iter().map(|(now_ms, event)| {
        let actions = gate.handle(now_ms, event);
        render(now_ms, &actions)
    });
    steps.collect()
}

/// Guards against requests that wait in the queue until they can no longer
/// complete in time.
#[test]
fn queue_is_ordered_by_deadline_and_late_requests_are_refused_before_their_deadline() {
    let mut gate = gate(1, 8);
    let rendered = run(
        &mut gate,
        [
            (0, arrive("a", 1, 1_000)),
            (0, arrive("b", 2, 900)),
            (0, arrive("c", 3, 500)),
            (0, arrive("d", 4, 60)),
            (0, arrive("e", 5, 20)),
            (50, admission::GateEvent::Tick),
            (60, finish(1)),
            (70, finish(3)),
        ],
    );
    expect_test::expect![[r"
        0: admit 1
        0: refuse 5 deadline-exceeded not-run
        50: refuse 4 deadline-exceeded not-run
        60: admit 3
        70: admit 2
    "]]
    .assert_eq(&rendered);
}

/// Lowering the limit below the current queue length must neither drop queued
/// requests nor fail the assertion on the queue length.
#[test]
fn lowered_queue_limit_refuses_arrivals_and_keeps_queued_requests() {
    let mut gate = gate(1, 3);
    let lowered = admission::GateEvent::QueueLimitChanged {
        queue_limit_requests: 1,
    };
    let rendered = run(
        &mut gate,
        [
            (0, arrive("a", 1, 1_000)),
            (0, arrive("a", 2, 1_001)),
            (0, arrive("a", 3, 1_002)),
            (10, lowered),
            (10, arrive("a", 4, 1_003)),
            (20, finish(1)),
            (20, arrive("a", 5, 1_004)),
            (30, finish(2)),
            (30, arrive("a", 6, 1_005)),
        ],
    );
    expect_test::expect![[r"
        0: admit 1
        10: refuse 4 queue-full not-run
        20: admit 2
        20: refuse 5 queue-full not-run
        30: admit 3
    "]]
    .assert_eq(&rendered);
}

/// One organisation must not fill the queue and so exclude all others.
#[test]
fn full_queue_evicts_requests_of_the_largest_organisation() {
    let mut gate = gate(1, 3);
    let rendered = run(
        &mut gate,
        [
            (0, arrive("greedy", 1, 1_000)),
            (0, arrive("greedy", 2, 1_000)),
            (0, arrive("greedy", 3, 1_001)),
            (0, arrive("greedy", 4, 1_002)),
            (0, arrive("greedy", 5, 900)),
            (0, arrive("modest", 6, 2_000)),
            (5, finish(1)),
            (10, finish(6)),
        ],
    );
    expect_test::expect![[r"
        0: admit 1
        0: refuse 5 queue-full not-run
        0: refuse 4 queue-full not-run
        5: admit 6
        10: admit 2
    "]]
    .assert_eq(&rendered);
}

/// Guards against a queue that serves organisations in proportion to their
/// request rates.
#[test]
fn one_organisation_cannot_starve_another() {
    let mut gate = gate(1, 64);
    let mut admitted = indexmap::IndexMap::<&str, u64>::new();
    let mut running = None;
    for step in 0..2_000_u64 {
        let now_ms = step * 5;
        // The greedy organisation sends nine requests per request of the modest
        // one.
        let organisation = if step % 10 == 0 { "modest" } else { "greedy" };
        let mut actions = gate.handle(now_ms, arrive(organisation, step, now_ms + 400));
        if let Some((request_id, ends_ms)) = running
            && now_ms >= ends_ms
        {
            actions.extend(gate.handle(now_ms, finish(request_id)));
        }
        for action in actions {
            if let admission::GateAction::Admit { request_id } = action {
                let organisation = if request_id % 10 == 0 {
                    "modest"
                } else {
                    "greedy"
                };
                *admitted.entry(organisation).or_default() += 1;
                running = Some((request_id, now_ms + 10));
            }
        }
    }
    // The modest organisation requests less than half of the capacity, so
    // nearly all of its requests are admitted.
    assert!(
        admitted["modest"] >= 198,
        "modest got {}",
        admitted["modest"]
    );
    assert!(
        admitted["greedy"] >= 700,
        "greedy got {}",
        admitted["greedy"]
    );
}

/// Guards against refused callers that all retry at the same time or while the
/// service is still overloaded.
#[test]
fn retry_times_grow_with_the_overload_and_shrink_after_it() {
    let config = configs::admission::AdmissionConfig::default();
    let mut retry_schedule = admission::RetrySchedule::new(&config, RNG_SEED);
    for now_ms in 0..2_000 {
        retry_schedule.record_completion(now_ms);
    }
    let first_ms = retry_schedule.retry_after_ms(2_000);
    let under_load: Vec<u64> = (0..1_000)
        .map(|_| retry_schedule.retry_after_ms(2_000))
        .collect();
    let last_ms = under_load[under_load.len() - 1];
    assert!(first_ms <= 2 * config.retry_after_min_ms, "{first_ms}");
    assert!(last_ms >= 10 * first_ms, "{last_ms}");
    assert!(
        under_load
            .iter()
            .all(|&wait_ms| wait_ms <= config.retry_after_max_ms)
    );
    let mut distinct = under_load;
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 500, "{} distinct times", distinct.len());
    for now_ms in 20_000..22_000 {
        retry_schedule.record_completion(now_ms);
    }
    assert!(retry_schedule.retry_after_ms(22_000) <= 2 * config.retry_after_min_ms);
}

/// Arithmetic on deadlines and run times near `u64::MAX` must not overflow.
#[test]
fn extreme_times_do_not_overflow() {
    let mut gate = gate(1, 8);
    let extreme_arrival = |request_id, deadline_ms, expected_run_ms| admission::GateEvent::Arrive {
        deadline_ms,
        expected_run_ms,
        organisation: "a".to_owned(),
        request_id,
    };
    let events = [
        (5, extreme_arrival(1, u64::MAX, 10)),
        (5, extreme_arrival(2, u64::MAX, u64::MAX)),
        (5, extreme_arrival(3, 0, u64::MAX)),
        (5, extreme_arrival(4, 1_000, 0)),
    ];
    let rendered = run(&mut gate, events);
    expect_test::expect![[r"
        5: admit 1
        5: refuse 3 deadline-exceeded not-run
    "]]
    .assert_eq(&rendered);
}

/// Step of a random run: elapsed milliseconds, kind of event and two parameters
/// of the event.
type Step = (u64, u8, u64, u64);

/// Runs random steps and checks that every request is decided exactly once and
/// admitted only while it can still complete before its deadline.
fn check_random_run(steps: Vec<Step>) -> Result<(), test_runner::TestCaseError> {
    let mut gate = gate(3, 6);
    let mut now_ms = 0;
    let mut next_id = 0;
    let mut waiting = indexmap::IndexMap::<u64, u64>::new();
    let mut running = indexmap::IndexSet::<u64>::new();
    for (wait_ms, kind, first, second) in steps {
        now_ms += wait_ms;
        let event = match kind {
            0..=4 => {
                next_id += 1;
                waiting.insert(next_id, now_ms + second);
                arrive(
                    &format!("organisation-{}", first % 4),
                    next_id,
                    now_ms + second,
                )
            }
            5..=7 if !running.is_empty() => {
                let index = usize::try_from(first).unwrap_or(0) % running.len();
                let request_id = running.swap_remove_index(index).unwrap_or_default();
                finish(request_id)
            }
            8 if !waiting.is_empty() => {
                let index = usize::try_from(first).unwrap_or(0) % waiting.len();
                let (request_id, _) = waiting.swap_remove_index(index).unwrap_or_default();
                admission::GateEvent::Cancel { request_id }
            }
            9 => admission::GateEvent::CapacityChanged {
                concurrent_requests: u32::try_from(first % 5).unwrap_or(0),
            },
            _ => admission::GateEvent::Tick,
        };
        for action in gate.handle(now_ms, event) {
            let (admission::GateAction::Admit { request_id }
            | admission::GateAction::Refuse { request_id, .. }) = action;
            let deadline_ms = waiting.swap_remove(&request_id);
            proptest::prop_assert!(deadline_ms.is_some(), "{} decided twice", request_id);
            if matches!(action, admission::GateAction::Admit { .. }) {
                proptest::prop_assert!(now_ms + 10 <= deadline_ms.unwrap_or(0));
                running.insert(request_id);
            }
        }
        proptest::prop_assert_eq!(gate.queued_requests(), waiting.len());
        proptest::prop_assert_eq!(gate.in_flight_requests(), running.len());
        let wakeup_ms = gate.next_wakeup_ms();
        proptest::prop_assert_ne!(wakeup_ms.is_some(), waiting.is_empty());
    }
    Ok(())
}

#[test]
fn random_runs_decide_each_request_once_and_admit_none_too_late() {
    let step = (0..30_u64, 0..11_u8, 0..1_000_u64, 0..200_u64);
    let config = test_runner::Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(RNG_SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = runner.run(&steps, check_random_run);
    outcome.expect("each request is decided once and in time");
}
