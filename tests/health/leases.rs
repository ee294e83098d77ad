//! Holder and duration of a lease, as derived from the log's records.

use foxtailwinch::configs;
use foxtailwinch::health;

const LEASE_MS: u64 = 2_000;

fn config() -> configs::health::HealthConfig {
    configs::health::HealthConfig {
        clock_rate_error_ppm: 0,
        lease_duration_ms: LEASE_MS,
        ..configs::health::HealthConfig::default()
    }
}

fn tracker(holder: &str) -> health::LeaseTracker {
    health::LeaseTracker::new(&config(), holder, "ejections/bei")
}

fn held_until_ms(events: &[health::DeciderEvent]) -> Option<u64> {
    events.iter().find_map(|event| match event {
        health::DeciderEvent::LeaseHeld { until_ms, .. } => Some(*until_ms),
        _ => None,
    })
}

fn previous_ends_ms(events: &[health::DeciderEvent]) -> Option<u64> {
    events.iter().find_map(|event| match event {
        health::DeciderEvent::PreviousLeaseEnds { at_ms } => Some(*at_ms),
        _ => None,
    })
}

/// Guards against a lease that its holder counts from reading its own record.
/// The first holder's append takes effect late, and the holder reads it even
/// later, after another process has read it and taken the lease.
#[test]
fn a_lease_starts_when_proposed_and_others_wait_from_reading_it() {
    for effective_ms in (0..3_000).step_by(100) {
        for lag_ms in (0..3_000).step_by(100) {
            let (mut first, mut second) = (tracker("first/1"), tracker("second/1"));
            let record = first.propose(0);
            let wait_ms = previous_ends_ms(&second.apply(effective_ms, &record)).unwrap();
            let until_ms = held_until_ms(&first.apply(effective_ms + lag_ms, &record)).unwrap();
            assert!(
                until_ms < wait_ms,
                "{until_ms} {wait_ms} {effective_ms} {lag_ms}"
            );
            let from_reading_ms = effective_ms + lag_ms + LEASE_MS;
            assert!(
                lag_ms < 100 || from_reading_ms > wait_ms,
                "a lease counted from reading shows no overlap"
            );
        }
    }
}

/// Guards against a lease that counts from a repeated append. The first append
/// may have taken effect although its reply was lost.
#[test]
fn a_lost_reply_does_not_extend_the_lease() {
    let mut tracker = tracker("first/1");
    let record = tracker.propose(100);
    assert_eq!(tracker.propose(900), record);
    let until_ms = held_until_ms(&tracker.apply(1_000, &record)).unwrap();
    assert!(until_ms <= 100 + LEASE_MS, "{until_ms}");
    assert_eq!(
        tracker.apply(1_100, &record),
        [],
        "the duplicate record is void"
    );
}

/// Guards against two holders of one term, when two processes append a record
/// with the same term.
#[test]
fn the_later_of_two_records_with_one_term_is_void() {
    let (mut first, mut second) = (tracker("first/1"), tracker("second/1"));
    let (winner, loser) = (first.propose(0), second.propose(0));
    assert!(held_until_ms(&first.apply(10, &winner)).is_some());
    assert!(previous_ends_ms(&first.apply(20, &loser)).is_some());
    assert_eq!(held_until_ms(&second.apply(10, &winner)), None);
    assert_eq!(held_until_ms(&second.apply(20, &loser)), None);
}
