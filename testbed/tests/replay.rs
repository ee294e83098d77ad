//! Replays of load patterns. The gateway's choice of servers is compared with
//! plain policies.

use testbed::replay;

/// Number of seeds per load pattern.
const SEEDS: u64 = 4;

fn figures(scenario: &str) -> Vec<replay::Figures> {
    let path = format!("{}/scenarios/{scenario}.yaml", env!("CARGO_MANIFEST_DIR"));
    let scenario = replay::Scenario::load(&path).expect("a scenario");
    let policies = scenario.policies.iter().map(|policy| {
        let mut sum = replay::Figures {
            policy: policy.name.clone(),
            ..replay::Figures::default()
        };
        for seed in 1..=SEEDS {
            sum.add(&replay::run(&scenario, policy, seed));
        }
        sum
    });
    policies.collect()
}

fn total(figures: &replay::Figures) -> replay::Window {
    let mut total = replay::Window::default();
    for service in &figures.services {
        total.add(&service.total());
    }
    total
}

/// Returns the share of requests that were answered in time.
#[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
fn on_time_share(figures: &replay::Figures) -> f64 {
    let total = total(figures);
    total.on_time_count() as f64 / total.request_count as f64
}

/// Asserts that more requests are answered in time with the gateway's policy,
/// which is the first of the scenario, than with each plain policy.
fn assert_better_than_plain(scenario: &str) {
    let figures = figures(scenario);
    let gateway = on_time_share(&figures[0]);
    for plain in &figures[1..] {
        let other = on_time_share(plain);
        assert!(
            gateway > other,
            "{scenario}: {gateway:.3}, {} {other:.3}",
            plain.policy
        );
    }
}

#[test]
fn more_requests_succeed_during_gray_failures() {
    assert_better_than_plain("quiet-long-runs");
    assert_better_than_plain("quiet-short-runs");
}

#[test]
fn more_requests_succeed_while_most_are_refused() {
    assert_better_than_plain("refusals");
}

#[test]
fn more_requests_succeed_with_two_fifths_of_the_servers_slow() {
    assert_better_than_plain("slow-servers");
}

#[test]
fn more_requests_succeed_while_the_servers_of_one_zone_fail() {
    assert_better_than_plain("one-zone");
}

#[test]
fn more_requests_succeed_with_servers_that_never_respond() {
    assert_better_than_plain("silent-servers");
}

#[test]
fn more_requests_succeed_while_callers_retry_at_once() {
    assert_better_than_plain("repeats");
    assert_better_than_plain("burst");
}

/// A uniformly slow service has no failing servers, so no server may be
/// excluded.
#[test]
fn uniformly_slow_service_excludes_no_server() {
    let figures = figures("slow-service");
    let orders = &figures[0].services[1];
    assert!(
        orders.worst_idle_share <= 0.3,
        "idle: {}",
        orders.worst_idle_share
    );
}

/// Guards against retries beyond their budget: a fifth of the requests, plus
/// the slack in each ten seconds.
#[test]
fn retries_stay_within_their_budget() {
    for figures in figures("refusals") {
        for service in &figures.services {
            let allowed = service.total().request_count / 5 + SEEDS * 58 * 4;
            assert!(service.retry_count <= allowed, "{service:?}");
        }
    }
}

#[test]
fn same_seed_yields_the_same_figures() {
    let expected = replay::csv(&figures("burst"));
    assert_eq!(replay::csv(&figures("burst")), expected);
}

#[test]
fn each_request_is_counted_once_under_each_policy() {
    let figures = figures("repeats");
    let request_counts: Vec<u64> = figures
        .iter()
        .map(|figures| total(figures).request_count)
        .collect();
    assert!(
        request_counts
            .iter()
            .all(|count| *count == request_counts[0]),
        "{request_counts:?}"
    );
}

#[test]
fn error_for_a_missing_scenario_names_the_file() {
    let error = replay::Scenario::load("no-such-scenario.yaml").expect_err("no file");
    assert!(error.to_string().starts_with("no-such-scenario.yaml: "));
}
