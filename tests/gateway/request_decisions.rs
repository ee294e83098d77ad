//! Tests of what decisions on requests depend on: the caller's time, the work that is left
//! and the contract, but neither the target latency nor whether the request was sent before.

use foxtailwinch::admission;
use foxtailwinch::gateway;
use foxtailwinch::ports;
use proptest::test_runner;

use crate::fixtures;

const RNG_SEED: u64 = 20_261_205;
/// Target latencies that a configuration may name, in milliseconds.
const TARGETS_MS: [u64; 4] = [0, 1, 2_000, u64::MAX];

fn route(target_latency_ms: u64) -> ports::Route {
    ports::Route {
        target_latency_ms,
        ..fixtures::route("shop.example", "/buy/", "buy")
    }
}

/// Guards against an expected run time that is taken from the target latency: a VM that
/// stops before the first response of a route would refuse by it.
#[test]
fn expected_run_time_does_not_depend_on_the_target() {
    for target_ms in TARGETS_MS {
        let mut run_times = gateway::RunTimes::default();
        let route = route(target_ms);
        assert_eq!(run_times.high_ms(&route), None);
        run_times.record(&route, 400);
        assert_eq!(run_times.high_ms(&route), Some(1_600));
    }
}

/// Guards against requests that are cut off by a stop more often because they may run more
/// than once: their callers lose them as well.
#[test]
fn expected_run_time_does_not_depend_on_the_kind() {
    let high_ms = [
        ports::RequestKind::Idempotent,
        ports::RequestKind::NonIdempotent,
    ]
    .map(|kind| {
        let route = ports::Route { kind, ..route(500) };
        let mut run_times = gateway::RunTimes::default();
        for run_ms in [300, 500, 400, 900] {
            run_times.record(&route, run_ms);
        }
        run_times.high_ms(&route)
    });
    assert_eq!(high_ms[0], high_ms[1]);
}

/// Step of a random run: elapsed milliseconds, kind of event and two parameters.
type Step = (u64, u8, u64, u64);

/// Returns the decisions of a queue on the requests of a random run, in order.
fn decisions(target_ms: u64, steps: &[Step]) -> Vec<admission::GateAction> {
    let mut queue = gateway::RequestQueue::new(8, RNG_SEED);
    let mut run_times = gateway::RunTimes::default();
    let route = route(target_ms);
    let mut decisions = Vec::new();
    let (mut now_ms, mut request_id, mut free_slots) = (0, 0, 2);
    let mut running = Vec::new();
    for &(wait_ms, kind, first, second) in steps {
        now_ms += wait_ms;
        let actions = match kind {
            0..=4 => {
                request_id += 1;
                let request = gateway::WaitingRequest {
                    high_run_ms: run_times.high_ms(&route),
                    mean_run_ms: 100,
                    organisation: None,
                    request_id,
                    route: &route,
                    time_left_ms: first,
                    weight: 1,
                };
                queue.arrive(now_ms, request.arrival(now_ms), free_slots)
            }
            5..=7 if !running.is_empty() => {
                let index = usize::try_from(first).unwrap_or(0) % running.len();
                run_times.record(&route, second);
                free_slots = (free_slots + 1).min(2);
                let ended = running.swap_remove(index);
                queue.finish(now_ms, ended, second % 2 == 0, free_slots)
            }
            _ => queue.update(now_ms, free_slots),
        };
        for action in &actions {
            if let admission::GateAction::Admit { request_id } = action {
                queue.record_choice(*request_id);
                running.push(*request_id);
                free_slots = free_slots.saturating_sub(1);
            }
        }
        decisions.extend(actions);
    }
    decisions
}

/// Guards against waits, refusals and an order that are set by the target latency: the same
/// arrivals must get the same decisions whatever it is.
#[test]
fn target_latency_decides_nothing() {
    let step = (0..200_u64, 0..10_u8, 0..6_000_u64, 20..400_u64);
    let config = test_runner::Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(RNG_SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step, 1..150);
    let outcome = runner.run(&steps, |steps| {
        let expected = decisions(TARGETS_MS[0], &steps);
        for target_ms in TARGETS_MS {
            proptest::prop_assert_eq!(&decisions(target_ms, &steps), &expected);
        }
        Ok(())
    });
    outcome.expect("the same decisions for all targets");
}

/// Guards against a request that is given up earlier because it was sent before: as long as
/// the route allows a further server, the time that is left counts as for a first attempt.
#[test]
fn earlier_attempts_do_not_shorten_the_time_for_an_attempt() {
    let ends = [
        gateway::AttemptEnd::AnsweredFailure,
        gateway::AttemptEnd::NotSent,
        gateway::AttemptEnd::Refused,
        gateway::AttemptEnd::Unanswered,
    ];
    for time_left_ms in [0, 1, 100, 10_000] {
        for servers_reached_count in 0..5 {
            for end in ends {
                let context = gateway::RetryContext {
                    connect_failures_count: 1,
                    max_attempts: 5,
                    may_repeat: true,
                    mean_run_ms: 400,
                    servers_reached_count,
                    time_left_ms,
                };
                let decision = gateway::decide_retry(end, &context);
                let is_retried = decision != gateway::RetryDecision::GiveUp;
                assert_eq!(is_retried, time_left_ms > 0, "{end:?} {context:?}");
            }
        }
    }
}

/// Guards against a request that is refused without a try because its caller's time ends
/// before the reports expire by which the slots seem to be taken.
#[test]
fn request_is_sent_before_it_would_be_late() {
    let route = route(500);
    let mut queue = gateway::RequestQueue::new(8, RNG_SEED);
    let request = gateway::WaitingRequest {
        high_run_ms: Some(300),
        mean_run_ms: 100,
        organisation: None,
        request_id: 1,
        route: &route,
        time_left_ms: 900,
        weight: 1,
    };
    assert_eq!(queue.arrive(7, request.arrival(7), 0), []);
    let mut checks = (25..=2_000_u64).step_by(25);
    let decision = checks.find_map(|now_ms| Some((now_ms, queue.update(now_ms, 0).pop()?)));
    let admitted = admission::GateAction::Admit { request_id: 1 };
    assert_eq!(decision, Some((600, admitted)));
}
