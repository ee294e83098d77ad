//! Tests of the schedule of reads of the store.

use foxtailwinch::gateway;

/// Guards against needless reads of the store by VMs that get updates from
/// peers, and against VMs that stay stale if their peers send none.
#[test]
fn reader_reads_continually_and_other_vms_only_when_stale() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 300);
    assert!(
        !schedule.is_due(299, false, None),
        "peers may send the state"
    );
    assert!(schedule.is_due(300, false, None), "no state yet");
    schedule.begin_read();
    assert!(!schedule.is_due(310, true, None), "a read is running");
    schedule.end_read(320, true);
    assert!(!schedule.is_due(369, true, Some(320)));
    assert!(schedule.is_due(370, true, Some(320)));
    assert!(!schedule.is_due(2_620, false, Some(320)));
    assert!(schedule.is_due(2_621, false, Some(320)));
}

/// Guards against VMs that overload a failing store with repeated reads.
#[test]
fn failed_reads_are_repeated_with_exponential_backoff() {
    let mut schedule = gateway::ReadSchedule::new(50, 2_000, 0);
    let mut now_ms = 0;
    let mut starts = Vec::new();
    while now_ms < 8_000 {
        if schedule.is_due(now_ms, true, None) {
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
