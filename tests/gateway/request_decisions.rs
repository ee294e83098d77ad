//! Tests of what decisions on requests depend on: the caller's time, the work that is left
//! and the contract, but neither the target latency nor whether the request was sent before.

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

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
