//! Tests of the service gate with priorities, weights and longest waits.

use foxtailwinch::admission;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;
use proptest::test_runner;

const RNG_SEED: u64 = 20_261_204;
const RUN_MS: u64 = 10;

fn gate(capacity: u32, queue_limit_requests: u32) -> admission::ServiceGate {
    let service = bundle::Service {
        queue_limit_requests,
        ..bundle::Service::default()
    };
    let config = configs::admission::AdmissionConfig {
        least_time_left_percent: 100,
        ..configs::admission::AdmissionConfig::default()
    };
    let mut gate = admission::ServiceGate::new(&config, &service, RNG_SEED);
    gate.handle(0, capacity_changed(capacity));
    gate
}

const fn capacity_changed(concurrent_requests: u32) -> admission::GateEvent {
    admission::GateEvent::CapacityChanged {
        concurrent_requests,
    }
}

fn arrival(organisation: &str, request_id: u64, priority: u32) -> admission::Arrival {
    admission::Arrival {
        deadline_ms: 10_000 + request_id,
        expected_run_ms: RUN_MS,
        needed_ms: 0,
        organisation: organisation.to_owned(),
        priority,
        request_id,
        send_by_ms: None,
        weight: 1_000,
    }
}

/// Returns the ids of admitted requests, and those of refused ones as negative numbers
/// with their reasons.
fn apply(gate: &mut admission::ServiceGate, now_ms: u64, event: admission::GateEvent) -> String {
    let actions = gate.handle(now_ms, event);
    let texts = actions.iter().map(|action| match action {
        admission::GateAction::Admit { request_id } => format!("admit {request_id}"),
        admission::GateAction::Refuse {
            refusal,
            request_id,
        } => format!("refuse {request_id} {}", refusal.reason.as_str()),
    });
    texts.collect::<Vec<_>>().join(", ")
}

fn arrive(gate: &mut admission::ServiceGate, now_ms: u64, arrival: admission::Arrival) -> String {
    apply(gate, now_ms, admission::GateEvent::ArriveWeighted(arrival))
}

fn finish(gate: &mut admission::ServiceGate, now_ms: u64, request_id: u64) -> String {
    apply(gate, now_ms, admission::GateEvent::Finish { request_id })
}

/// Guards against an order in which less urgent requests take the slots of more urgent
/// ones, or callers with more time those of callers with less.
#[test]
fn urgent_requests_are_first_and_then_those_with_the_earliest_deadline() {
    let mut gate = gate(1, 8);
    arrive(&mut gate, 0, arrival("a", 1, 5));
    for (request_id, priority) in [(7, 7), (4, 5), (3, 5), (6, 0), (5, 0), (2, 7)] {
        assert_eq!(arrive(&mut gate, 0, arrival("a", request_id, priority)), "");
    }
    let mut order = vec![1];
    while let Some(&running) = order.last() {
        let admitted = finish(&mut gate, 0, running);
        let Some(next) = admitted.strip_prefix("admit ") else {
            break;
        };
        order.push(next.parse().expect("an id"));
    }
    assert_eq!(order, [1, 5, 6, 3, 4, 2, 7]);
}

/// Guards against an organisation whose requests are served by their number: one that
/// sends six times its usual rate must take nothing from the others.
#[test]
fn greedy_organisation_takes_nothing_from_the_others() {
    let usual = [("a", 10), ("b", 20), ("c", 30), ("greedy", 40)];
    let served = |factor: u64| {
        let mut gate = gate(1, 64);
        let mut served: indexmap::IndexMap<&str, u64> = indexmap::IndexMap::new();
        let mut running = None;
        let mut names = indexmap::IndexMap::new();
        // The capacity is 100 requests per second, as is the sum of the usual rates.
        for now_ms in 0..20_000_u64 {
            for (index, (name, rate)) in usual.into_iter().enumerate() {
                let rate = if name == "greedy" {
                    rate * factor
                } else {
                    rate
                };
                let phase = index as u64 * 7;
                let count = (now_ms + 1 + phase) * rate / 1_000 - (now_ms + phase) * rate / 1_000;
                for _ in 0..count {
                    let request_id = names.len() as u64 + 1;
                    names.insert(request_id, name);
                    let request = admission::Arrival {
                        deadline_ms: now_ms + 2_000,
                        weight: usual[index].1 * 1_000,
                        ..arrival(name, request_id, 0)
                    };
                    let event = admission::GateEvent::ArriveWeighted(request);
                    for action in gate.handle(now_ms, event) {
                        if let admission::GateAction::Admit { request_id } = action {
                            running = Some((request_id, now_ms + RUN_MS));
                        }
                    }
                }
            }
            if let Some((request_id, end_ms)) = running
                && end_ms <= now_ms
            {
                *served.entry(names[&request_id]).or_default() += 1;
                running = None;
                for action in gate.handle(now_ms, admission::GateEvent::Finish { request_id }) {
                    if let admission::GateAction::Admit { request_id } = action {
                        running = Some((request_id, now_ms + RUN_MS));
                    }
                }
            }
        }
        served
    };
    for factor in [1, 6] {
        let served = served(factor);
        for (name, rate) in usual {
            let least = rate * 20 * 95 / 100;
            assert!(served[name] >= least, "{factor}: {name} {served:?}");
        }
    }
}

/// Guards against a full queue that refuses urgent requests and keeps less urgent ones,
/// and against a queue beyond its bound.
#[test]
fn full_queue_gives_way_to_more_urgent_requests() {
    let mut gate = gate(1, 3);
    arrive(&mut gate, 0, arrival("a", 1, 5));
    for request_id in [2, 3] {
        assert_eq!(arrive(&mut gate, 0, arrival("a", request_id, 5)), "");
    }
    assert_eq!(arrive(&mut gate, 0, arrival("b", 4, 5)), "");
    let results = [
        arrive(&mut gate, 0, arrival("c", 5, 9)),
        arrive(&mut gate, 0, arrival("a", 6, 5)),
        arrive(&mut gate, 0, arrival("b", 7, 5)),
        arrive(&mut gate, 0, arrival("a", 8, 0)),
        arrive(&mut gate, 0, arrival("a", 9, 5)),
    ];
    expect_test::expect![[r"
        refuse 5 queue-full
        refuse 6 queue-full
        refuse 7 queue-full
        refuse 3 queue-full
        refuse 9 queue-full"]]
    .assert_eq(&results.join("\n"));
    assert_eq!(gate.queued_requests(), 3);
}

/// Guards against requests that wait for nothing: one that cannot finish by its deadline
/// leaves at once, also if that becomes known only later.
#[test]
fn hopeless_requests_leave_at_once() {
    let mut gate = gate(1, 8);
    arrive(&mut gate, 0, arrival("a", 1, 0));
    let short = |request_id, deadline_ms| admission::Arrival {
        deadline_ms,
        ..arrival("a", request_id, 0)
    };
    let results = [
        arrive(&mut gate, 0, short(2, 15)),
        arrive(&mut gate, 0, short(3, 60)),
        apply(&mut gate, 40, admission::GateEvent::Tick),
        apply(&mut gate, 41, admission::GateEvent::Tick),
    ];
    expect_test::expect![[r"
        refuse 2 deadline-exceeded


        refuse 3 deadline-exceeded"]]
    .assert_eq(&results.join("\n"));
    assert_eq!(gate.queued_requests(), 0);
}

/// Guards against less urgent requests that wait for a turn that never comes: while more
/// urgent ones arrive faster than they can be served, they are refused on arrival.
#[test]
fn requests_that_get_no_turn_are_refused_at_once() {
    let mut gate = gate(1, 64);
    let mut running = None;
    for now_ms in 0..5_000_u64 {
        let mut actions = Vec::new();
        if now_ms.is_multiple_of(RUN_MS) {
            let finished = running
                .take()
                .map(|request_id| gate.handle(now_ms, admission::GateEvent::Finish { request_id }));
            actions.extend(finished.into_iter().flatten());
        }
        // A tenth more than the capacity.
        if now_ms.is_multiple_of(RUN_MS - 1) {
            let urgent = arrival("a", 1 + now_ms, 0);
            actions.extend(gate.handle(now_ms, admission::GateEvent::ArriveWeighted(urgent)));
        }
        for action in actions {
            if let admission::GateAction::Admit { request_id } = action {
                running = Some(request_id);
            }
        }
    }
    let less_urgent = admission::Arrival {
        deadline_ms: 15_000,
        ..arrival("b", 6_000, 1)
    };
    let refused = "refuse 6000 deadline-exceeded";
    assert_eq!(arrive(&mut gate, 5_000, less_urgent), refused);
}

/// Guards against a caller that has left and still takes a place or a slot.
#[test]
fn cancelled_request_frees_its_place_and_its_slot() {
    let mut gate = gate(1, 1);
    arrive(&mut gate, 0, arrival("a", 1, 0));
    arrive(&mut gate, 0, arrival("a", 2, 0));
    assert_eq!(
        arrive(&mut gate, 0, arrival("a", 3, 0)),
        "refuse 3 queue-full"
    );
    let cancel = |request_id| admission::GateEvent::Cancel { request_id };
    assert_eq!(apply(&mut gate, 1, cancel(2)), "");
    assert_eq!(arrive(&mut gate, 1, arrival("a", 4, 0)), "");
    assert_eq!(apply(&mut gate, 2, cancel(1)), "admit 4");
    assert_eq!(gate.queued_requests(), 0);
}

/// Guards against requests that wait because the servers are wrongly believed to be
/// full: each is sent after its longest wait, and while these run as fast as others,
/// more of them may run at once.
#[test]
fn requests_are_sent_after_their_longest_wait() {
    let mut gate = gate(1, 64);
    let limit = admission::GateEvent::OverdueLimitChanged {
        overdue_requests: 1,
    };
    gate.handle(0, limit);
    arrive(&mut gate, 0, arrival("a", 1, 0));
    finish(&mut gate, 10, 1);
    gate.handle(10, capacity_changed(0));
    for request_id in 2..10 {
        let request = admission::Arrival {
            send_by_ms: Some(100),
            ..arrival("a", request_id, 0)
        };
        assert_eq!(arrive(&mut gate, 10, request), "");
    }
    assert_eq!(gate.next_wakeup_ms(), Some(100));
    let results = [
        apply(&mut gate, 99, admission::GateEvent::Tick),
        apply(&mut gate, 100, admission::GateEvent::Tick),
        finish(&mut gate, 110, 2),
        finish(&mut gate, 120, 3),
        finish(&mut gate, 200, 4),
    ];
    expect_test::expect![[r"

        admit 2
        admit 3, admit 4
        admit 5, admit 6
        "]]
    .assert_eq(&results.join("\n"));
}

/// Step of a random run: elapsed milliseconds, kind of event and two parameters.
type Step = (u64, u8, u64, u64);

fn check_random_run(steps: Vec<Step>) -> Result<(), test_runner::TestCaseError> {
    let mut gate = gate(3, 6);
    let mut now_ms = 0;
    let mut next_id = 0;
    let mut waiting = indexmap::IndexMap::<u64, u64>::new();
    let mut running = indexmap::IndexSet::<u64>::new();
    for (wait_ms, kind, first, second) in steps {
        now_ms += wait_ms;
        let index = |len: usize| usize::try_from(first).unwrap_or(0) % len;
        let event = match kind {
            0..=5 => {
                next_id += 1;
                waiting.insert(next_id, now_ms + second);
                admission::GateEvent::ArriveWeighted(admission::Arrival {
                    deadline_ms: now_ms + second,
                    send_by_ms: (first % 3 > 0).then_some(now_ms + second / 4),
                    weight: 1 + first % 7,
                    ..arrival(&format!("o{}", first % 4), next_id, u32::from(kind) % 3)
                })
            }
            6 | 7 if !running.is_empty() => {
                let request_id = running.swap_remove_index(index(running.len()));
                admission::GateEvent::Finish {
                    request_id: request_id.unwrap_or_default(),
                }
            }
            8 if !waiting.is_empty() => {
                let cancelled = waiting.swap_remove_index(index(waiting.len()));
                admission::GateEvent::Cancel {
                    request_id: cancelled.unwrap_or_default().0,
                }
            }
            9 => capacity_changed(u32::try_from(first % 5).unwrap_or(0)),
            10 => admission::GateEvent::OverdueLimitChanged {
                overdue_requests: u32::try_from(first % 3).unwrap_or(0),
            },
            _ => admission::GateEvent::Tick,
        };
        for action in gate.handle(now_ms, event) {
            let (admission::GateAction::Admit { request_id }
            | admission::GateAction::Refuse { request_id, .. }) = action;
            let deadline_ms = waiting.swap_remove(&request_id);
            proptest::prop_assert!(deadline_ms.is_some(), "{} decided twice", request_id);
            if matches!(action, admission::GateAction::Admit { .. }) {
                proptest::prop_assert!(now_ms <= deadline_ms.unwrap_or(0));
                running.insert(request_id);
            }
        }
        proptest::prop_assert_eq!(gate.queued_requests(), waiting.len());
        proptest::prop_assert!(waiting.len() <= 6);
        proptest::prop_assert_eq!(gate.in_flight_requests(), running.len());
    }
    Ok(())
}

/// Guards against requests that are decided twice or never, and against a queue beyond
/// its bound.
#[test]
fn random_runs_decide_each_weighted_request_once() {
    let step = (0..30_u64, 0..13_u8, 0..1_000_u64, 0..200_u64);
    let config = test_runner::Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(RNG_SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = runner.run(&steps, check_random_run);
    outcome.expect("each request is decided once");
}
