//! Tests of the limits that backend servers name, in virtual time.

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::fixtures;

const VMS: usize = 24;
const SERVERS: usize = 15;
/// Time after which VMs must keep to a limit, by the contract.
const CONTACT_MS: u64 = 4_000;
/// Length of the windows in which requests are counted, by the contract.
const WINDOW_MS: u64 = 4_000;

fn server_id(number: usize) -> String {
    format!("s{number:02}")
}

fn pool(server_count: usize) -> gateway::BackendPool {
    let config = configs::GatewayConfig::default();
    let mut pool = gateway::BackendPool::new(config.suspicion, config.server_use, 700);
    let backends = (0..server_count).map(|number| fixtures::backend(&server_id(number)));
    pool.set_backends(0, fixtures::shared(backends.collect()).iter());
    pool
}

fn request(random_value: f64) -> gateway::ChoiceRequest<'static> {
    gateway::ChoiceRequest {
        availability_zone: "a-1",
        random_value,
        excluded: &[],
        may_retry: false,
        region: "a",
        region_cost: 1.2,
        service: "shop",
        zone_cost: 0.3,
    }
}

/// Largest number of requests in a window that the contract allows.
fn allowed(limit_per_s: f64) -> usize {
    let window_s = 4.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let allowed = (1.5 * limit_per_s * window_s + 5.0).round() as usize;
    allowed
}

/// Sends `per_s` requests a second through the pools of all VMs for 30 s. From 2 s on,
/// server 0 names `limit_per_s`. A notice arrives at another VM after 1 to 60 ms, or
/// in two of 100 cases never. Returns when server 0 got its requests.
fn run_fleet(seed: u64, per_s: u64, server_count: usize, limit_per_s: f64) -> Vec<u64> {
    const RUN_MS: u64 = 300;
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut pools: Vec<gateway::BackendPool> = (0..VMS).map(|_| pool(server_count)).collect();
    let limited = fixtures::backend(&server_id(0)).incarnation();
    let mut notices: Vec<(u64, usize, gateway::LimitNotice)> = Vec::new();
    let mut runs: Vec<(u64, u64, usize, u64)> = Vec::new();
    let mut received_ms = Vec::new();
    for now_ms in 0..30_000 {
        for (_, to, notice) in notices.extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms) {
            pools[to].apply_limit_notice(now_ms, notice);
        }
        let mut sent_notices = Vec::new();
        let ended = runs.extract_if(.., |(end_ms, _, _, _)| *end_ms <= now_ms);
        for (_, sent_ms, vm, incarnation) in ended.collect::<Vec<_>>() {
            pools[vm].record_request_end(incarnation);
            let names_limit = incarnation == limited && now_ms >= 2_000;
            let limit = names_limit.then_some(limit_per_s);
            let notice = pools[vm].record_named_limit(now_ms, incarnation, sent_ms, limit);
            sent_notices.extend(notice.map(|notice| (vm, notice)));
        }
        if random.random_range(0..1_000) < per_s {
            let vm = random.random_range(0..VMS);
            let choice = pools[vm].choose(now_ms, &request(random.random()));
            if let Some(choice) = choice {
                sent_notices.extend(choice.limit_notice.map(|notice| (vm, notice)));
                runs.push((now_ms + RUN_MS, now_ms, vm, choice.incarnation));
                if choice.incarnation == limited {
                    received_ms.push(now_ms);
                }
            }
        }
        for (from, notice) in sent_notices {
            for to in (0..VMS).filter(|to| *to != from) {
                if random.random_range(0..100) >= 2 {
                    let at_ms = now_ms + random.random_range(1..60);
                    notices.push((at_ms, to, notice));
                }
            }
        }
    }
    received_ms
}

fn most_in_window(received_ms: &[u64]) -> usize {
    let counts = received_ms.iter().map(|begin_ms| {
        let window = *begin_ms..begin_ms + WINDOW_MS;
        received_ms
            .iter()
            .filter(|at_ms| window.contains(at_ms))
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against VMs that exceed a server's limit together although each of them
/// keeps to it: 24 requests in four seconds at a limit of 2.3.
#[test]
fn vms_keep_to_a_named_limit_together() {
    for (limit_per_s, per_s, server_count) in [
        (1.0, 60, SERVERS),
        (2.3, 60, SERVERS),
        (0.5, 200, SERVERS),
        (12.0, 400, SERVERS),
        (1.0, 100, 1),
        (0.0, 60, SERVERS),
    ] {
        for seed in 1..=5 {
            let received_ms = run_fleet(seed, per_s, server_count, limit_per_s);
            let after_contact = received_ms.partition_point(|at_ms| *at_ms < 2_300 + CONTACT_MS);
            let received_ms = &received_ms[after_contact..];
            let most = most_in_window(received_ms);
            assert!(
                most <= allowed(limit_per_s),
                "limit {limit_per_s}, {per_s} a second, seed {seed}: {most} in a window"
            );
            assert!(!received_ms.is_empty(), "limit {limit_per_s}: unused");
        }
    }
}

/// Guards against a limit that is left unused because each VM takes only its share: a
/// server in need still serves what it can.
#[test]
fn named_limit_is_used_up_under_load() {
    let received_ms = run_fleet(1, 100, 1, 2.0);
    let after_contact = received_ms.iter().filter(|at_ms| **at_ms >= 10_000);
    // Two a second for 20 s.
    let count = after_contact.count();
    assert!((34..=44).contains(&count), "{count} requests");
}

/// Guards against a server that stays limited for good, and against a limit that a
/// response to an earlier request lifts.
#[test]
fn limit_ends_with_a_response_that_names_none() {
    let mut pool = pool(1);
    let incarnation = fixtures::backend(&server_id(0)).incarnation();
    let notice = pool.record_named_limit(1_000, incarnation, 900, Some(1.0));
    assert_eq!(notice.expect("a change").limit_milli, Some(1_000));
    let again = pool.record_named_limit(1_100, incarnation, 1_050, Some(1.0));
    assert_eq!(again, None, "no change");
    let earlier = pool.record_named_limit(1_200, incarnation, 950, None);
    assert_eq!(
        earlier, None,
        "the request was sent before the limit was named"
    );
    for _ in 0..2 {
        assert!(pool.choose(1_200, &request(0.0)).is_some());
    }
    assert!(pool.choose(1_200, &request(0.0)).is_none(), "used up");
    let next_open = pool.next_open(1_200, &request(0.0));
    assert_eq!(next_open, Some(gateway::SendPermission::Limited(2_200)));
    assert!(pool.choose(2_200, &request(0.0)).is_some());
    let ended = pool.record_named_limit(2_300, incarnation, 2_200, None);
    assert_eq!(ended.expect("a change").limit_milli, None);
    for _ in 0..5 {
        assert!(pool.choose(2_300, &request(0.0)).is_some());
    }
}

/// Guards against a limit that another incarnation of the server inherits, or that a
/// change of the registry makes the VM forget.
#[test]
fn limit_belongs_to_one_incarnation() {
    let mut pool = pool(1);
    let old = fixtures::backend(&server_id(0));
    pool.record_named_limit(1_000, old.incarnation(), 900, Some(0.1));
    for _ in 0..2 {
        let _ = pool.choose(1_000, &request(0.0));
    }
    pool.set_backends(1_100, fixtures::shared(vec![old.clone()]).iter());
    assert!(pool.choose(1_200, &request(0.0)).is_none(), "still limited");
    let new = ports::Backend {
        born_unix_ms: old.born_unix_ms + 1,
        ..old
    };
    pool.set_backends(1_300, fixtures::shared(vec![new]).iter());
    assert!(pool.choose(1_300, &request(0.0)).is_some());
}
