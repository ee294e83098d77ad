//! Tests of the schedule of reads of the store.

use foxtailwinch::gateway;

const READER: gateway::ReaderRole = gateway::ReaderRole {
    is_reader: true,
    is_seed: false,
    preferred_count: 0,
};
const STANDBY: gateway::ReaderRole = gateway::ReaderRole {
    is_reader: false,
    preferred_count: 2,
    ..READER
};

/// Guards against needless reads of the store by VMs that get updates from
/// peers, and against VMs that stay stale if their peers send none.
#[test]
fn reader_reads_continually_and_other_vms_only_when_stale() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 300);
    assert!(
        !schedule.is_due(5_099, STANDBY, None),
        "peers may send the state"
    );
    assert!(schedule.is_due(5_100, STANDBY, None), "no state yet");
    schedule.begin_read();
    assert!(!schedule.is_due(5_110, READER, None), "a read is running");
    schedule.end_read(5_320, true);
    assert!(!schedule.is_due(5_369, READER, Some(5_320)));
    assert!(schedule.is_due(5_370, READER, Some(5_320)));
    assert!(!schedule.is_due(7_620, STANDBY, Some(5_320)));
    assert!(schedule.is_due(7_621, STANDBY, Some(5_320)));
}

/// Guards against a store that is read by each of hundreds of VMs that start at the
/// same time: 293 VMs read ten pages each within 120 ms.
#[test]
fn only_seeds_and_readers_read_the_store_right_after_the_start() {
    let schedule = gateway::ReadSchedule::new(50, 2_000, 100);
    let first_due_ms = |role: gateway::ReaderRole| {
        let mut times_ms = (0..10_000).filter(|now_ms| schedule.is_due(*now_ms, role, None));
        times_ms.next()
    };
    let seed = gateway::ReaderRole {
        is_seed: true,
        ..STANDBY
    };
    expect_test::expect![[r"[Some(0), Some(1200), Some(2700)]"]].assert_eq(&format!(
        "{:?}",
        [
            first_due_ms(seed),
            first_due_ms(READER),
            first_due_ms(STANDBY)
        ]
    ));
}

/// Guards against a fleet whose VMs all read the store because the first VMs that
/// have the state are still busy with sending it to others.
#[test]
fn vm_that_knows_a_source_waits_for_it_before_it_reads_the_store() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 0);
    schedule.record_source(1_400);
    assert!(!schedule.is_due(2_899, STANDBY, None));
    assert!(schedule.is_due(2_900, STANDBY, None));
    schedule.record_source(60_000);
    assert!(schedule.is_due(6_000, STANDBY, None), "no source delivers");
}

/// Guards against a region whose VMs all read a large configuration from the store,
/// over the same link, while it still spreads among them.
#[test]
fn vm_that_is_behind_a_peer_waits_for_it_before_it_reads_the_store() {
    let mut schedule = gateway::ReadSchedule::new(300, 2_000, 100);
    schedule.begin_read();
    schedule.end_read(5_000, true);
    let is_due =
        |schedule: &gateway::ReadSchedule, now_ms| schedule.is_due(now_ms, STANDBY, Some(10_000));
    assert!(is_due(&schedule, 12_101), "no peer has anything newer");
    schedule.record_source(11_500);
    assert!(!is_due(&schedule, 12_101));
    assert!(!is_due(&schedule, 13_600));
    assert!(is_due(&schedule, 13_601), "the peer is silent");
    schedule.record_source(60_000);
    assert!(is_due(&schedule, 16_101), "no peer delivers");
}

/// Guards against VMs that all count themselves as readers before they know their
/// peers.
#[test]
fn rank_counts_only_once_the_peers_are_known() {
    let is_reader = gateway::ReaderRole::is_reader_by_rank;
    assert!(!is_reader(1_199, 0, 2));
    assert!(is_reader(1_200, 0, 2));
    assert!(!is_reader(1_200, 2, 2));
    assert!(
        is_reader(1_200, 1, 2),
        "one of two preferred VMs cannot read the store"
    );
}

/// Guards against calls to a store that is down from all VMs of a large fleet: 146
/// VMs of a region each read again every 1.6 s.
#[test]
fn pause_after_failures_grows_with_the_rank_until_the_store_is_readable_again() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 0);
    let mut now_ms = 0;
    for _ in 0..5 {
        schedule.begin_read();
        now_ms += 10_000;
        schedule.end_read(now_ms, false);
    }
    let next_ms = |preferred_count, confirmed_ms| {
        let role = gateway::ReaderRole {
            preferred_count,
            ..READER
        };
        let mut pauses_ms = (0..100_000)
            .filter(|pause_ms| schedule.is_due(now_ms + pause_ms, role, Some(confirmed_ms)));
        pauses_ms.next()
    };
    expect_test::expect![[r"[Some(1600), Some(1600), Some(3200), Some(30400)]"]].assert_eq(
        &format!("{:?}", [0, 7, 8, 145].map(|count| next_ms(count, 40_000))),
    );
    assert_eq!(
        next_ms(145, now_ms + 1),
        Some(1_600),
        "another VM has read the store"
    );
}

/// Guards against VMs that overload a failing store with repeated reads.
#[test]
fn failed_reads_are_repeated_with_exponential_backoff() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 0);
    let mut now_ms = 0;
    let mut starts = Vec::new();
    while now_ms < 8_000 {
        if schedule.is_due(now_ms, READER, Some(0)) {
            starts.push(now_ms);
            schedule.begin_read();
            schedule.end_read(now_ms, false);
        }
        now_ms += 100;
    }
    expect_test::expect![[r"[0, 200, 600, 1400, 3000, 4600, 6200, 7800]"]]
        .assert_eq(&format!("{starts:?}"));
}

/// Guards against a log line for each failed read during an outage of the
/// store.
#[test]
fn loss_and_recovery_of_the_store_are_each_reported_once() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 0);
    let reported: Vec<bool> = [false, false, true, true]
        .iter()
        .map(|has_responded| schedule.end_read(0, *has_responded))
        .collect();
    assert_eq!(reported, [true, false, true, false]);
}
