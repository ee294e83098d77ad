//! Tests of when requests are retried, and of the retry budget.

use foxtailwinch::gateway;
use foxtailwinch::verdict;

fn context() -> gateway::RetryContext {
    gateway::RetryContext {
        servers_reached_count: 1,
        connect_failures_count: 0,
        time_left_ms: 1_000,
        max_attempts: 2,
        may_repeat: false,
        mean_run_ms: 200,
    }
}

/// Guards against a second run of a request that is not idempotent.
#[test]
fn non_idempotent_request_is_retried_only_if_it_did_not_run() {
    let ends = [
        gateway::AttemptEnd::AnsweredFailure,
        gateway::AttemptEnd::Unanswered,
        gateway::AttemptEnd::Refused,
        gateway::AttemptEnd::NotSent,
    ];
    let decisions: Vec<String> = ends
        .iter()
        .map(|end| format!("{end:?}: {:?}", gateway::decide_retry(*end, &context())))
        .collect();
    expect_test::expect![[r"
        AnsweredFailure: GiveUp
        Unanswered: GiveUp
        Refused: RetryWithinBudget(ServerShed)
        NotSent: RetryWithinBudget(ConnectFailed)"]]
    .assert_eq(&decisions.join("\n"));
}

/// Guards against giving up on a request that may safely run again.
#[test]
fn idempotent_request_is_retried_after_any_failure() {
    let context = gateway::RetryContext {
        may_repeat: true,
        ..context()
    };
    for end in [
        gateway::AttemptEnd::AnsweredFailure,
        gateway::AttemptEnd::Unanswered,
        gateway::AttemptEnd::Refused,
    ] {
        let decision = gateway::decide_retry(end, &context);
        assert!(
            matches!(decision, gateway::RetryDecision::RetryWithinBudget(_)),
            "{end:?}"
        );
    }
}

/// Guards against more attempts than the route's limit.
#[test]
fn request_reaches_no_more_servers_than_the_route_allows() {
    let context = gateway::RetryContext {
        servers_reached_count: 2,
        may_repeat: true,
        ..context()
    };
    let decision = gateway::decide_retry(gateway::AttemptEnd::Refused, &context);
    assert_eq!(decision, gateway::RetryDecision::GiveUp);
}

/// Guards against a retry budget that is used up by attempts that reached no
/// server.
#[test]
fn failed_connection_before_the_first_reached_server_costs_no_budget() {
    let context = gateway::RetryContext {
        servers_reached_count: 0,
        connect_failures_count: 1,
        ..context()
    };
    let decision = gateway::decide_retry(gateway::AttemptEnd::NotSent, &context);
    let reason = verdict::RetryReason::ConnectFailed;
    assert_eq!(decision, gateway::RetryDecision::RetryOutsideBudget(reason));
}

/// Guards against attempts after the deadline, and against giving up on a request that may
/// still be served: run times vary.
#[test]
fn attempt_is_made_as_long_as_the_caller_waits() {
    let decisions = [0, 1, 90].map(|time_left_ms| {
        let context = gateway::RetryContext {
            time_left_ms,
            may_repeat: true,
            ..context()
        };
        gateway::decide_retry(gateway::AttemptEnd::Refused, &context)
    });
    let reason = verdict::RetryReason::ServerShed;
    let is_made = gateway::RetryDecision::RetryWithinBudget(reason);
    assert_eq!(
        decisions,
        [gateway::RetryDecision::GiveUp, is_made, is_made]
    );
}

/// Servers refuse 55% of all requests for 8.5 s in a fleet of 36 VMs, of which 12
/// serve requests. In any window of 10 s, the fleet may retry at most a fifth of
/// its requests plus 58.
#[test]
fn fleet_stays_within_its_budget_while_all_servers_refuse() {
    const SERVING_VMS: usize = 12;
    const SLACK_MILLI: u64 = 58 * 1_000 / 2 / SERVING_VMS as u64;
    const WINDOW_MS: u64 = 10_000;
    let mut budgets = vec![gateway::RetryBudget::new(WINDOW_MS, 200); SERVING_VMS];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    // About 84 requests per second, distributed to the VMs in turn. 11 of 20
    // requests are refused during the fault.
    for (count, now_ms) in (0_u64..40_000).step_by(12).enumerate() {
        let budget = &mut budgets[count % SERVING_VMS];
        budget.record_request(now_ms);
        requests.push(now_ms);
        let is_refused = (13_000..21_500).contains(&now_ms) && count % 20 < 11;
        if is_refused && budget.try_retry(now_ms, SLACK_MILLI) {
            retries.push(now_ms);
        }
    }
    let within = |times: &[u64], from_ms: u64| {
        let window = from_ms..from_ms + WINDOW_MS;
        times.iter().filter(|at_ms| window.contains(at_ms)).count()
    };
    for from_ms in (0..30_000).step_by(100) {
        let allowed = within(&requests, from_ms) / 5 + 58;
        assert!(within(&retries, from_ms) <= allowed, "from {from_ms} ms");
    }
    assert!(retries.len() > 100, "the budget is used: {}", retries.len());
}
