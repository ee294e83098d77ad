//! Quarantine of requests that crash the servers that run them.

use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;

const FINGERPRINT: u64 = 7;

fn config() -> configs::health::HealthConfig {
    configs::health::HealthConfig {
        quarantine_capacity_count: 3,
        quarantine_retention_ms: 10_000,
        ..configs::health::HealthConfig::default()
    }
}

fn crashed(fingerprint: u64, server_id: &str, ran_ms: u64) -> health::QuarantineEvent {
    health::QuarantineEvent::ServerCrashed {
        fingerprint,
        ran_ms,
        server_id: server_id.to_owned(),
    }
}

fn summary(actions: &[health::QuarantineAction]) -> health::QuarantineSummary {
    let summary = actions.iter().find_map(|action| match action {
        health::QuarantineAction::SendSummary { summary } => Some(summary.clone()),
        health::QuarantineAction::InvalidateEvidence { .. } => None,
    });
    summary.expect("no summary was sent")
}

/// Guards against further crashes after the second one, and against ejecting
/// the two servers for crashes that the request caused.
#[test]
fn the_second_crash_quarantines_the_request_and_invalidates_evidence() {
    let mut quarantine = health::Quarantine::new(&config());
    quarantine.handle(1_000, crashed(FINGERPRINT, "s0", 20));
    assert!(!quarantine.is_quarantined(1_000, FINGERPRINT));
    let actions = quarantine.handle(1_500, crashed(FINGERPRINT, "s1", 20));
    assert!(quarantine.is_quarantined(1_500, FINGERPRINT));
    let invalidate = health::QuarantineAction::InvalidateEvidence {
        fingerprint: FINGERPRINT,
        server_ids: vec![String::from("s0"), String::from("s1")],
    };
    assert!(actions.contains(&invalidate), "{actions:?}");
}

/// Guards against counting crashes per VM: the attempts of one request may go
/// through different VMs, whose clocks differ.
#[test]
fn crashes_seen_by_two_vms_count_together() {
    let mut quarantines = [(); 3].map(|()| health::Quarantine::new(&config()));
    let first = summary(&quarantines[0].handle(1_000, crashed(FINGERPRINT, "s0", 20)));
    quarantines[1].handle(91_000, health::QuarantineEvent::PeerSummary(first));
    let second = summary(&quarantines[1].handle(91_500, crashed(FINGERPRINT, "s1", 20)));
    assert!(quarantines[1].is_quarantined(91_500, FINGERPRINT));
    quarantines[2].handle(500, health::QuarantineEvent::PeerSummary(second));
    assert!(quarantines[2].is_quarantined(500, FINGERPRINT));
}

/// Guards against quarantining a request because of a server that keeps
/// crashing by itself.
#[test]
fn two_crashes_of_one_server_do_not_quarantine() {
    let mut quarantine = health::Quarantine::new(&config());
    quarantine.handle(1_000, crashed(FINGERPRINT, "s0", 20));
    quarantine.handle(2_000, crashed(FINGERPRINT, "s0", 20));
    assert!(!quarantine.is_quarantined(2_000, FINGERPRINT));
}

/// Guards against quarantining a popular lookup: when the servers of a zone
/// crash together, many of them run the same request.
#[test]
fn crashes_with_attempts_in_flight_together_do_not_quarantine() {
    let mut quarantine = health::Quarantine::new(&config());
    quarantine.handle(1_000, crashed(FINGERPRINT, "s0", 200));
    quarantine.handle(1_100, crashed(FINGERPRINT, "s1", 200));
    assert!(!quarantine.is_quarantined(1_100, FINGERPRINT));
}

/// Guards against quarantining a request that a server has completed since the
/// first crash, and against lifting a quarantine because of a response.
#[test]
fn a_response_clears_a_suspect_but_not_a_quarantined_request() {
    let mut quarantine = health::Quarantine::new(&config());
    let answered = health::QuarantineEvent::Answered {
        fingerprint: FINGERPRINT,
    };
    quarantine.handle(1_000, crashed(FINGERPRINT, "s0", 20));
    quarantine.handle(1_100, answered.clone());
    quarantine.handle(1_200, crashed(FINGERPRINT, "s1", 20));
    assert!(!quarantine.is_quarantined(1_200, FINGERPRINT));
    quarantine.handle(1_300, crashed(FINGERPRINT, "s2", 20));
    quarantine.handle(1_400, answered);
    assert!(quarantine.is_quarantined(1_400, FINGERPRINT));
}

/// Guards against unbounded memory, and against a full memory that evicts a
/// quarantined request before unproven suspects.
#[test]
fn suspects_are_bounded_and_expire() {
    let mut quarantine = health::Quarantine::new(&config());
    quarantine.handle(1_000, crashed(FINGERPRINT, "s0", 20));
    quarantine.handle(1_100, crashed(FINGERPRINT, "s1", 20));
    for fingerprint in 100..200 {
        quarantine.handle(1_200, crashed(fingerprint, "s2", 20));
        assert!(quarantine.len() <= 3);
    }
    assert!(quarantine.is_quarantined(1_200, FINGERPRINT));
    assert!(!quarantine.is_quarantined(11_100, FINGERPRINT));
    quarantine.handle(11_200, health::QuarantineEvent::Tick);
    assert!(quarantine.is_empty());
}
