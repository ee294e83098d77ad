//! Load patterns replayed against the gateway's decisions, with plain choices
//! to compare with.

use testbed::replay;

/// Seeds of each pattern.
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

#[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
fn on_time_share(figures: &replay::Figures) -> f64 {
    let total = total(figures);
    total.on_time_count() as f64 / total.request_count as f64
}

fn expect_better_than_plain(scenario: &str) {
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
fn gray_spells_alone() {
    expect_better_than_plain("quiet-long-runs");
    expect_better_than_plain("quiet-short-runs");
}

#[test]
fn most_requests_refused() {
    expect_better_than_plain("refusals");
}

#[test]
fn two_fifths_of_the_servers_slow() {
    expect_better_than_plain("slow-servers");
}

#[test]
fn servers_of_one_zone_failing() {
    expect_better_than_plain("one-zone");
}

#[test]
fn servers_that_do_not_answer() {
    expect_better_than_plain("silent-servers");
}

#[test]
fn callers_that_repeat_at_once() {
    expect_better_than_plain("repeats");
    expect_better_than_plain("burst");
}

/// A service that is slow as a whole is not a service of bad servers: none of
/// them is left out.
#[test]
fn slow_service_leaves_no_server_out() {
    let figures = figures("slow-service");
    let orders = &figures[0].services[1];
    assert!(
        orders.worst_idle_share <= 0.3,
        "idle: {}",
        orders.worst_idle_share
    );
}

/// Second attempts stay within their budget: a fifth of the requests, and the
/// slack in each ten seconds.
#[test]
fn second_attempts_stay_within_their_budget() {
    for figures in figures("refusals") {
        for service in &figures.services {
            let allowed = service.total().request_count / 5 + SEEDS * 58 * 4;
            assert!(service.retry_count <= allowed, "{service:?}");
        }
    }
}

#[test]
fn same_seed_gives_the_same_figures() {
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
fn scenario_with_a_fault_names_the_file() {
    let error = replay::Scenario::load("no-such-scenario.yaml").expect_err("no file");
    assert!(error.to_string().starts_with("no-such-scenario.yaml: "));
}
