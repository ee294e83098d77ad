//! Actions of the detector for given outcomes.

use expect_test::expect;
use foxtailwinch::health;

use super::fleet;

const WARM_UP_MS: u64 = 20_000;

fn slow(factor: u64, now_ms: u64) -> (health::OutcomeKind, u64) {
    let (kind, latency_us) = fleet::healthy(now_ms);
    (kind, latency_us * factor)
}

fn warmed_up_fleet(vm_count: u64, weight: f64) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(vm_count, weight);
    fleet.run(WARM_UP_MS, &|_, _, now_ms| fleet::healthy(now_ms));
    assert_eq!(fleet.events, Vec::<String>::new());
    fleet
}

/// Guards against a VM that waits for evidence of its own: all VMs must react
/// to a slow server within a few hundred milliseconds by sharing their
/// outcomes.
#[test]
fn every_vm_reduces_traffic_to_a_slow_server_and_ejects_it() {
    let mut fleet = warmed_up_fleet(3, 0.1).granting();
    fleet.run(1_000, &|_, server_id, now_ms| {
        slow(if server_id == "s2" { 5 } else { 1 }, now_ms)
    });
    expect![[r#"
        20150 vm2 weight of "s2" is 500
        20160 vm1 weight of "s2" is 500
        20170 vm0 weight of "s2" is 500
        20300 vm2 weight of "s2" is 50
        20300 vm2 requests ejection of "s2"
        20300 vm2 weight of "s2" is 0
        20360 vm1 weight of "s2" is 50
        20360 vm1 requests ejection of "s2"
        20360 vm1 weight of "s2" is 0
        20370 vm0 weight of "s2" is 50
        20370 vm0 requests ejection of "s2"
        20370 vm0 weight of "s2" is 0"#]]
    .assert_eq(&fleet.events.join("\n"));
}

/// Guards against ejecting healthy servers when all servers become slow
/// together.
#[test]
fn a_service_wide_slowdown_ejects_no_server() {
    for factor in [2, 5, 20] {
        let mut fleet = warmed_up_fleet(4, 0.0);
        fleet.run(30_000, &|_, _, now_ms| slow(factor, now_ms));
        assert_eq!(fleet.ejection_request_count(), 0, "{:?}", fleet.events);
    }
}

/// Guards against ejecting a server that only one VM cannot reach. That VM must
/// reduce its own traffic to the server and report a path fault.
#[test]
fn a_fault_seen_by_a_single_vm_is_a_path_fault() {
    let mut fleet = warmed_up_fleet(4, 0.0);
    fleet.run(10_000, &|vm, server_id, now_ms| {
        if vm == 1 && server_id == "s2" {
            (health::OutcomeKind::ConnectFailed, 1_000)
        } else {
            fleet::healthy(now_ms)
        }
    });
    assert_eq!(fleet.ejection_request_count(), 0, "{:?}", fleet.events);
    assert!(fleet.detectors[1].weight_permille("s2") < 100);
    assert_eq!(fleet.detectors[0].weight_permille("s2"), 1_000);
    assert!(
        fleet
            .events
            .iter()
            .any(|event| event.contains("vm1 path fault"))
    );
}

/// Guards against evaluating servers that are slow because they start or leave.
#[test]
fn cold_and_draining_servers_are_not_evaluated() {
    let mut fleet = warmed_up_fleet(3, 0.0);
    let states = ["s0", "s1", "s2", "s3", "s4"].map(|server_id| health::ServerState {
        cold: server_id == "s2",
        draining: server_id == "s3",
        server_id: server_id.to_owned(),
    });
    for vm in 0..3 {
        let servers = states.to_vec();
        fleet.handle(vm, health::DetectorEvent::ServersChanged { servers });
    }
    fleet.run(5_000, &|_, server_id, now_ms| {
        slow(
            if ["s2", "s3"].contains(&server_id) {
                20
            } else {
                1
            },
            now_ms,
        )
    });
    assert_eq!(fleet.events, Vec::<String>::new());
}

/// Guards against missing a server that returns another request's response one
/// time in ten, whatever the weight of false ejections is.
#[test]
fn a_tenth_of_mismatched_responses_is_detected_at_any_weight() {
    for weight in [0.0, 0.5, 1.0] {
        let mut fleet = warmed_up_fleet(3, weight).granting();
        fleet.run(30_000, &|vm, server_id, now_ms| {
            if server_id == "s2" && (now_ms / 50 + u64::try_from(vm).unwrap()) % 10 == 0 {
                (health::OutcomeKind::Mismatched, 15_000)
            } else {
                fleet::healthy(now_ms)
            }
        });
        assert!(
            fleet.ejection_request_count() > 0,
            "weight {weight}: {:?}",
            fleet.events
        );
        assert!(fleet.events.iter().all(|event| event.contains("s2")));
    }
}

/// Guards against a backoff that does not grow: a server that is slow whenever
/// it receives requests must stay ejected longer each time.
#[test]
fn the_ejection_backoff_of_a_flapping_server_grows() {
    let mut fleet = warmed_up_fleet(3, 0.1).granting();
    fleet.run(120_000, &|_, server_id, now_ms| {
        slow(if server_id == "s2" { 20 } else { 1 }, now_ms)
    });
    let readmitted_ms: Vec<u64> = fleet
        .events
        .iter()
        .filter(|event| event.contains("vm0 readmits"))
        .map(|event| event.split_whitespace().next().unwrap().parse().unwrap())
        .collect();
    let gaps_ms: Vec<u64> = readmitted_ms
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(gaps_ms.len() >= 2, "{readmitted_ms:?}");
    assert!(
        gaps_ms.windows(2).all(|pair| pair[1] * 10 > pair[0] * 15),
        "{gaps_ms:?}"
    );
}
