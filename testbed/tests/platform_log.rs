//! Tests of the log service and the VM list without HTTP.

use std::net;

use expect_test::expect;
use testbed::platform;

fn offsets(result: &platform::ReadResult) -> String {
    let read: Vec<String> = result
        .records
        .iter()
        .map(|record| format!("{}={}", record.offset, record.body))
        .collect();
    format!(
        "first {} next {} read [{}]",
        result.first_offset,
        result.next_offset,
        read.join(" ")
    )
}

fn log_with_five_records(retention_ms: u64) -> platform::Log {
    let mut log = platform::Log::new(retention_ms);
    for index in 0..5 {
        let offset = log.append(index * 100, "bundles", &format!("record-{index}"));
        assert_eq!(offset, Ok(index));
    }
    log
}

fn vm(id: &str) -> platform::Vm {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 7_001));
    platform::Vm {
        availability_zone: "kariakoo".to_owned(),
        caller_address: address,
        id: id.to_owned(),
        leaving: false,
        operator_address: None,
        peer_address: address,
        region: "pwani".to_owned(),
    }
}

fn visible(list: &mut platform::VmList, now_ms: u64) -> String {
    let vms = list.visible(now_ms).into_iter().map(|vm| {
        let suffix = if vm.leaving { "-leaving" } else { "" };
        format!("{}{suffix}", vm.id)
    });
    vms.collect::<Vec<_>>().join(" ")
}

#[test]
fn records_are_read_by_offset() {
    let mut log = log_with_five_records(0);
    let mut read = |stream, from, max| offsets(&log.read(1_000, stream, from, max));
    expect!["first 0 next 5 read [1=record-1 2=record-2]"].assert_eq(&read("bundles", 1, 2));
    expect!["first 0 next 5 read []"].assert_eq(&read("bundles", 5, 10));
    expect!["first 0 next 5 read []"].assert_eq(&read("bundles", 99, 10));
    expect!["first 0 next 0 read []"].assert_eq(&read("other", 0, 10));
}

#[test]
fn records_older_than_the_retention_time_are_dropped() {
    let mut log = log_with_five_records(250);
    let result = log.read(451, "bundles", 0, 10);
    assert!(result.is_expired(0));
    expect!["first 3 next 5 read []"].assert_eq(&offsets(&result));
    let retained = log.read(451, "bundles", 3, 10);
    expect!["first 3 next 5 read [3=record-3 4=record-4]"].assert_eq(&offsets(&retained));
    let all_expired = log.read(10_000, "bundles", 5, 10);
    expect!["first 5 next 5 read []"].assert_eq(&offsets(&all_expired));
    assert_eq!(log.append(10_000, "bundles", "later"), Ok(5));
}

#[test]
fn only_the_newest_records_are_retained() {
    let mut log = log_with_five_records(0);
    log.set_faults(platform::Faults {
        retention_records: Some(2),
        ..platform::Faults::default()
    });
    assert_eq!(log.append(1_000, "bundles", "record-5"), Ok(5));
    let result = log.read(1_000, "bundles", 4, 10);
    expect!["first 4 next 6 read [4=record-4 5=record-5]"].assert_eq(&offsets(&result));
}

#[test]
fn appends_over_the_rate_limit_have_no_effect() {
    let mut log = platform::Log::new(0);
    log.set_faults(platform::Faults {
        append_rate_per_s: Some(2),
        ..platform::Faults::default()
    });
    assert_eq!(log.append(1_000, "bundles", "a"), Ok(0));
    assert_eq!(log.append(1_900, "bundles", "b"), Ok(1));
    assert_eq!(
        log.append(1_999, "bundles", "c"),
        Err(platform::AppendError::TooManyAppends { rate_per_s: 2 })
    );
    assert_eq!(log.append(2_000, "bundles", "d"), Ok(2));
}

#[test]
fn records_over_one_mebibyte_are_rejected() {
    let mut log = platform::Log::new(0);
    assert_eq!(log.append(0, "bundles", &"x".repeat(1_048_576)), Ok(0));
    let refused = log.append(0, "bundles", &"x".repeat(1_048_577));
    expect!["record of 1048577 bytes is larger than the limit of 1048576 bytes"]
        .assert_eq(&refused.expect_err("too large").to_string());
}

#[test]
fn lost_replies_are_counted_down() {
    let mut log = platform::Log::new(0);
    log.set_faults(platform::Faults {
        lose_replies: 2,
        ..platform::Faults::default()
    });
    let lost = [(); 3].map(|()| log.consume_lost_reply());
    assert_eq!(lost, [true, true, false]);
}

#[test]
fn update_changes_only_the_named_faults() {
    let faults = platform::Faults::default()
        .updated(br#"{"down":true,"retention_records":7}"#)
        .expect("known fields");
    let faults = faults.updated(br#"{"retention_records":null}"#);
    let expected = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    assert_eq!(faults.expect("known fields"), expected);
    assert!(expected.updated(br#"{"dwon":true}"#).is_err());
    assert!(expected.updated(b"[]").is_err());
}

#[test]
fn vm_changes_are_visible_after_the_lag() {
    let mut list = platform::VmList::new(500);
    list.change(0, platform::VmChange::Put(vm("vm-1")));
    list.change(100, platform::VmChange::Put(vm("vm-2")));
    let id = "vm-1".to_owned();
    list.change(200, platform::VmChange::Leaving { id: id.clone() });
    list.change(300, platform::VmChange::Removed { id });
    let shown = [499, 500, 600, 700, 800].map(|now_ms| visible(&mut list, now_ms));
    expect![" | vm-1 | vm-1 vm-2 | vm-1-leaving vm-2 | vm-2"].assert_eq(&shown.join(" | "));
}
