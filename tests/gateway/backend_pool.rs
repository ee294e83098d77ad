//! Tests of the choice of a server by load, distance and suspicion.

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

fn pool(backends: Vec<ports::Backend>) -> gateway::BackendPool {
    let config = configs::GatewayConfig::default();
    let mut pool = gateway::BackendPool::new(config.suspicion, config.server_use, 700);
    let backends = fixtures::shared(backends);
    pool.set_backends(0, backends.iter());
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

/// Returns the ids of the servers of `count` choices, each with its number of
/// choices.
fn choices(
    pool: &mut gateway::BackendPool,
    now_ms: u64,
    count: u32,
    must_end: bool,
) -> indexmap::IndexMap<String, u32> {
    choices_of(pool, now_ms, count, must_end, false)
}

/// Returns the same for requests that can or cannot be retried.
fn choices_of(
    pool: &mut gateway::BackendPool,
    now_ms: u64,
    count: u32,
    must_end: bool,
    may_retry: bool,
) -> indexmap::IndexMap<String, u32> {
    let mut chosen: indexmap::IndexMap<String, u32> = indexmap::IndexMap::new();
    for number in 0..count {
        let random_value = f64::from(number) / f64::from(count);
        let request = gateway::ChoiceRequest {
            may_retry,
            ..request(random_value)
        };
        let choice = pool.choose(now_ms, &request).expect("a server");
        if must_end {
            pool.record_request_end(choice.incarnation);
        }
        *chosen.entry(choice.backend.id.clone()).or_default() += 1;
    }
    chosen.sort_unstable_keys();
    chosen
}

fn ten_servers() -> Vec<ports::Backend> {
    (0..10)
        .map(|number| fixtures::backend(&format!("s{number}")))
        .collect()
}

/// Guards against a choice that ignores the requests in flight to each server.
#[test]
fn load_is_spread_evenly() {
    let mut pool = pool(ten_servers());
    let chosen = choices(&mut pool, 0, 60, false);
    assert!(chosen.values().all(|count| *count == 6), "{chosen:?}");
}

/// Guards against overloading a server that is busy with the requests of other
/// VMs.
#[test]
fn load_reported_by_other_vms_is_counted() {
    let mut pool = pool(vec![fixtures::backend("s0"), fixtures::backend("s1")]);
    let busy = fixtures::backend("s0").incarnation();
    let report = report_of(busy, 6, 1);
    pool.apply_report(0, "10.0.0.9:1".parse().expect("an address"), &report);
    assert_eq!(choices(&mut pool, 0, 5, false)["s1"], 5);
}

/// Guards against needless traffic between regions, and against refusing
/// requests while only the servers of the own region are full.
#[test]
fn servers_of_another_region_are_used_only_when_near_ones_are_full() {
    let far = ports::Backend {
        availability_zone: "b-1".to_owned(),
        region: "b".to_owned(),
        ..fixtures::backend("far")
    };
    let mut pool = pool(vec![fixtures::backend("near"), far]);
    let chosen = choices(&mut pool, 0, 12, false);
    expect_test::expect![[r#"{"far": 2, "near": 10}"#]].assert_eq(&format!("{chosen:?}"));
}

/// Guards against requests to a draining server, even if it is the only one.
#[test]
fn draining_servers_receive_no_requests() {
    let draining = ports::Backend {
        state: ports::BackendState::Draining,
        ..fixtures::backend("s0")
    };
    let mut pool = pool(vec![draining]);
    assert!(pool.choose(0, &request(0.0)).is_none());
}

/// A server fails most requests for several seconds. One failure is enough to send
/// requests to other servers, and the server is tried again after some seconds: first by
/// a request that can be retried, and later also where there are no such requests.
#[test]
fn failing_server_receives_no_requests_for_some_seconds() {
    let mut pool = pool(ten_servers());
    let failing = fixtures::backend("s3").incarnation();
    assert!(pool.record_evidence(1_000, failing, gateway::Evidence::Failure));
    for may_retry in [false, true] {
        let soon = choices_of(&mut pool, 1_100, 100, true, may_retry);
        assert!(!soon.contains_key("s3"), "{soon:?}");
    }
    let mut others = pool_with_failure(failing);
    let lost_if_failed = choices(&mut others, 9_000, 60, false);
    assert!(!lost_if_failed.contains_key("s3"), "{lost_if_failed:?}");
    let mut others = pool_with_failure(failing);
    let later = choices(&mut others, 15_000, 60, false);
    assert!(later.contains_key("s3"), "{later:?}");
    let under_load = choices_of(&mut pool, 9_000, 60, false, true);
    assert!(under_load.contains_key("s3"), "{under_load:?}");
    let idle = choices(&mut self::pool(ten_servers()), 25_000, 100, true);
    assert!(idle.contains_key("s3"), "{idle:?}");
}

fn pool_with_failure(failing: u64) -> gateway::BackendPool {
    let mut pool = pool(ten_servers());
    pool.record_evidence(1_000, failing, gateway::Evidence::Failure);
    pool
}

/// All servers fail at once. The minimum share of them must still be used.
#[test]
fn minimum_share_of_the_servers_stays_in_use() {
    let mut pool = pool(ten_servers());
    for backend in ten_servers() {
        pool.record_evidence(1_000, backend.incarnation(), gateway::Evidence::Failure);
    }
    let chosen = choices(&mut pool, 1_100, 200, true);
    assert!(chosen.len() >= 7, "{chosen:?}");
}

/// Guards against VMs that learn of another VM's failed request only with the
/// next periodic report.
#[test]
fn failures_are_sent_at_once_and_successes_with_the_next_report() {
    let mut pool = pool(ten_servers());
    let incarnation = fixtures::backend("s0").incarnation();
    assert!(pool.record_evidence(0, incarnation, gateway::Evidence::Failure));
    assert!(!pool.record_evidence(0, incarnation, gateway::Evidence::Success));
    let sent = pool.take_report().servers;
    assert_eq!(
        (sent[0].incarnation, sent[0].success_count),
        (incarnation, 1)
    );
    assert!(pool.take_report().is_empty());
}

/// Guards against servers that fail within milliseconds and therefore appear to
/// have no load: four of a region's eight servers received a third of the requests
/// in this way, although they were known to be failing.
#[test]
fn servers_that_fail_fast_do_not_attract_requests() {
    let mut pool = pool(
        (0..8)
            .map(|n| fixtures::backend(&format!("s{n}")))
            .collect(),
    );
    for id in ["s0", "s1", "s2", "s3"] {
        pool.record_evidence(
            1_000,
            fixtures::backend(id).incarnation(),
            gateway::Evidence::Failure,
        );
    }
    let mut to_failing = 0;
    for number in 0..16_u32 {
        let choice = pool
            .choose(1_100, &request(f64::from(number) / 16.0))
            .expect("a server");
        if ["s0", "s1", "s2", "s3"].contains(&choice.backend.id.as_str()) {
            to_failing += 1;
            pool.record_request_end(choice.incarnation);
            pool.record_evidence(1_100, choice.incarnation, gateway::Evidence::Failure);
        }
    }
    assert!(
        to_failing <= 1,
        "{to_failing} of 16 requests went to failing servers"
    );
}

/// Guards against a failing server that gets its full share of requests again
/// whenever another server registers.
#[test]
fn suspicion_is_kept_when_the_registry_changes() {
    let mut pool = pool(ten_servers());
    let failing = fixtures::backend("s3").incarnation();
    pool.record_evidence(1_000, failing, gateway::Evidence::Failure);
    let mut more = ten_servers();
    more.push(fixtures::backend("s10"));
    let more = fixtures::shared(more);
    pool.set_backends(1_050, more.iter());
    let chosen = choices(&mut pool, 1_100, 100, true);
    assert!(!chosen.contains_key("s3"), "{chosen:?}");
}

/// Guards against an uneven choice between equal servers, which left one of 33
/// servers without any request for a whole day.
#[test]
fn equal_servers_are_chosen_equally_often() {
    let mut pool = pool(ten_servers());
    let chosen = choices(&mut pool, 0, 1_000, true);
    assert!(
        chosen.len() == 10 && chosen.values().all(|count| *count > 60),
        "{chosen:?}"
    );
}

/// Guards against unused servers in a degraded service: a third of its healthy
/// servers received no request for two seconds while 17% of the requests failed.
#[test]
fn every_server_is_used_while_many_requests_fail() {
    let mut pool = pool(ten_servers());
    suspect(&mut pool, 1_000, &["s0", "s1", "s2"]);
    for number in 0..20 {
        record_request(&mut pool, 1_000, number % 5 > 0);
    }
    let used = used_within(&mut pool, 1_000, 2_000);
    assert_eq!(used.len(), 10, "within two seconds: {used:?}");
}

/// Guards against a service that counts as degraded because its traffic begins:
/// failing servers respond at once, and nearly all responses of the first half
/// second were failures.
#[test]
fn requests_count_from_their_begin() {
    let mut pool = pool(ten_servers());
    for _ in 0..100 {
        pool.record_begin(1_000, "shop");
    }
    for _ in 0..7 {
        pool.record_unserved(1_002, "shop");
    }
    assert!(pool.take_changes().is_empty());
    pool.record_unserved(1_002, "shop");
    pool.record_unserved(1_002, "shop");
    assert_eq!(pool.take_changes().len(), 1, "nine in a hundred failed");
}

fn record_request(pool: &mut gateway::BackendPool, now_ms: u64, is_served: bool) {
    pool.record_begin(now_ms, "shop");
    if !is_served {
        pool.record_unserved(now_ms, "shop");
    }
}

/// Guards against too few servers in use when a degradation begins: suspicion had
/// excluded two fifths of the servers of a healthy service, and then requests were
/// lost that no entry VM could observe, for example to reset connections.
#[test]
fn three_quarters_of_the_servers_are_used_while_the_service_is_healthy() {
    let mut pool = pool(ten_servers());
    suspect(&mut pool, 1_000, &["s0", "s1", "s2", "s3"]);
    let used = used_within(&mut pool, 2_000, 1_000);
    assert_eq!(used.len(), 8, "{used:?}");
    let used = used_within(&mut pool, 3_000, 2_000);
    assert!(used.len() >= 8, "other servers in turn: {used:?}");
}

/// The servers that most probably recovered are tried again before other unused
/// servers.
#[test]
fn least_suspect_servers_are_used_again_first() {
    let candidates = [(9, 0.9), (2, 0.2), (6, 0.6), (7, 0.7)].map(|(incarnation, suspicion)| {
        gateway::FloorCandidate {
            is_used: suspicion < 0.5,
            incarnation,
            registered_ms: 0,
            suspicion,
        }
    });
    let required = |is_degraded| {
        let required = gateway::RequiredUse {
            is_degraded,
            recent_request_count: 100,
            share_permille: 750,
        };
        gateway::required_servers(&candidates, required)
    };
    let (healthy, degraded) = (required(false), required(true));
    expect_test::expect!["healthy [6, 7], degraded [6, 7, 9]"]
        .assert_eq(&format!("healthy {healthy:?}, degraded {degraded:?}"));
}

/// A request that another VM sent to a server since its last report keeps the
/// server in use. A request that is only still in flight does not.
#[test]
fn only_requests_that_were_sent_keep_a_server_in_use() {
    let mut pool = pool(ten_servers());
    suspect(&mut pool, 0, &["s0", "s1", "s2"]);
    let waiting = fixtures::backend("s0").incarnation();
    let sent = fixtures::backend("s1").incarnation();
    let peer = "10.0.0.9:1".parse().expect("an address");
    for number in 0..40 {
        record_request(&mut pool, 0, number % 5 > 0);
    }
    for now_ms in (0..2_000).step_by(100) {
        let mut report = report_of(waiting, 1, 0);
        report.servers.extend(report_of(sent, 0, 1).servers);
        pool.apply_report(now_ms, peer, &report);
        for number in 3..10 {
            let incarnation = fixtures::backend(&format!("s{number}")).incarnation();
            pool.apply_report(now_ms, peer, &report_of(incarnation, 0, 1));
        }
    }
    let choice = pool.choose(2_000, &request(0.5)).expect("a server");
    assert!(
        ["s0", "s2"].contains(&choice.backend.id.as_str()),
        "{choice:?}"
    );
    assert!(choice.is_probe);
}

/// The outcomes in the reports of other VMs count like those of the VM's own
/// requests.
#[test]
fn failures_reported_by_other_vms_bring_all_servers_into_use() {
    let mut pool = pool(ten_servers());
    suspect(&mut pool, 1_000, &["s0", "s1", "s2"]);
    let peer = "10.0.0.9:1".parse().expect("an address");
    let mut other = self::pool(ten_servers());
    for number in 0..20 {
        record_request(&mut other, 1_000, number % 5 > 0);
    }
    let report = other.take_report();
    assert!(other.take_report().is_empty());
    pool.apply_report(1_000, peer, &report);
    let used = used_within(&mut pool, 1_000, 2_000);
    assert_eq!(used.len(), 10, "within two seconds: {used:?}");
}

fn report_of(incarnation: u64, in_flight: u32, sent_count: u32) -> gateway::LoadReport {
    let load = gateway::ServerLoad {
        in_flight,
        incarnation,
        sent_count,
        success_count: 0,
    };
    gateway::LoadReport {
        servers: vec![load],
        services: Vec::new(),
    }
}

fn suspect(pool: &mut gateway::BackendPool, now_ms: u64, ids: &[&str]) {
    for id in ids {
        for _ in 0..4 {
            let incarnation = fixtures::backend(id).incarnation();
            pool.record_evidence(now_ms, incarnation, gateway::Evidence::Failure);
        }
    }
}

/// Returns the servers that receive at least one of 50 requests per second. Each
/// request ends at once, and suspect servers fail it.
fn used_within(
    pool: &mut gateway::BackendPool,
    from_ms: u64,
    span_ms: u64,
) -> indexmap::IndexSet<String> {
    let mut used: indexmap::IndexSet<String> = indexmap::IndexSet::new();
    for now_ms in (from_ms..from_ms + span_ms).step_by(20) {
        let random_value = f64::from(u32::try_from(now_ms / 20 % 10).expect("a digit")) / 10.0;
        let choice = pool
            .choose(now_ms, &request(random_value))
            .expect("a server");
        pool.record_request_end(choice.incarnation);
        let evidence = if choice.is_probe {
            gateway::Evidence::Failure
        } else {
            gateway::Evidence::Success
        };
        pool.record_evidence(now_ms, choice.incarnation, evidence);
        used.insert(choice.backend.id.clone());
    }
    used
}

/// A failure makes a server suspect, and successes end the suspicion. Each health
/// change is logged once.
#[test]
fn health_changes_are_reported_once() {
    let mut pool = pool(ten_servers());
    let incarnation = fixtures::backend("s3").incarnation();
    let mut lines = Vec::new();
    let mut take = |pool: &mut gateway::BackendPool| {
        let changes = pool.take_changes().into_iter();
        lines.extend(changes.map(|change| format!("{} {change}", change.name())));
    };
    for now_ms in [1_000, 1_010] {
        pool.record_evidence(now_ms, incarnation, gateway::Evidence::Failure);
        take(&mut pool);
    }
    for now_ms in [1_020, 1_030, 1_040, 1_050] {
        pool.record_peer_evidence(now_ms, incarnation, gateway::Evidence::Success);
    }
    take(&mut pool);
    for number in 0..20 {
        record_request(&mut pool, 1_100, number % 5 > 0);
    }
    for _ in 0..200 {
        record_request(&mut pool, 1_200, true);
    }
    take(&mut pool);
    expect_test::expect![[r"
        server.suspected service=shop server=s3 suspicion=0.89 source=own
        server.trusted service=shop server=s3 suspicion=0.41 source=peer
        service.troubled service=shop failed_share=0.25
        service.calm service=shop failed_share=0.08"]]
    .assert_eq(&lines.join("\n"));
}
