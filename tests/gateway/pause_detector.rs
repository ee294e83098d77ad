//! Tests of the detection of pauses of the process.

use std::sync;

use foxtailwinch::context;
use foxtailwinch::gateway;

/// Guards against requests that go on with a state that ran out while the process was
/// paused, and against requests that wait without end in an outage of the store.
#[test]
fn requests_wait_after_a_pause_until_the_state_is_confirmed() {
    let mut detector = gateway::PauseDetector::new(0);
    for now_ms in (0..2_000).step_by(75) {
        detector.record_sign(now_ms);
        assert!(!detector.must_wait(now_ms), "no pause at {now_ms} ms");
    }
    assert!(detector.must_wait(6_000));
    detector.record_sign(6_001);
    assert!(detector.must_wait(6_002), "the control thread runs again");
    detector.record_confirmation(5_999);
    assert!(
        detector.must_wait(6_010),
        "confirmed before the pause ended"
    );
    detector.record_confirmation(6_020);
    assert!(!detector.must_wait(6_021));

    assert!(detector.must_wait(20_000));
    assert!(detector.must_wait(20_399));
    assert!(!detector.must_wait(20_400), "nothing confirms the state");
}

/// Guards against a proof that was on its way while the process was paused: the
/// response of the store, or a message of a peer, waited in the socket.
#[test]
fn what_waited_during_a_pause_is_no_proof() {
    let mut detector = gateway::PauseDetector::new(0);
    assert_eq!(detector.read_confirmed_ms(100, 900), 900);
    assert!(!detector.may_be_backlog(50));
    assert!(detector.must_wait(5_000));
    assert_eq!(detector.read_confirmed_ms(900, 5_001), 900);
    assert_eq!(detector.read_confirmed_ms(5_001, 5_010), 5_010);
    assert!(detector.may_be_backlog(5_099));
    assert!(!detector.may_be_backlog(5_100));
}

/// Guards against a paused VM that goes on with outdated state: the reply to a pull
/// that began before the pause waited in the socket and counted as fresh.
#[test]
fn pull_that_waited_during_a_pause_confirms_nothing() {
    let mut detector = gateway::PauseDetector::new(0);
    detector.record_sign(1_050);
    assert!(detector.must_wait(4_050), "paused since 1,100");
    let mut cache = gateway::StoreCache::new(sync::Arc::new(context::ManualClock::default()));
    let summary = gateway::StateSummary {
        registry_age_ms: Some(20),
        ..gateway::StateSummary::default()
    };
    cache.confirm_from_peer(4_200, 1_000, &summary);
    let confirmed_ms = cache.backends.confirmed_ms().expect("a confirmation");
    detector.record_confirmation(confirmed_ms);
    assert!(detector.must_wait(4_210));
}
