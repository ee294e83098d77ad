//! Counters and numbered log events.

use std::fs;
use std::net;
use std::time;

use expect_test::expect;
use foxtailwinch::telemetry;
use foxtailwinch::verdict;

/// Maximum size of a datagram that the sink receives, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Time after which a datagram counts as not sent.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn add_sample_counts(counters: &telemetry::Counters) {
    let reason = verdict::RefusalReason::NoRoute;
    counters.add_refusal(&verdict::Refusal::not_run(reason, 0));
    counters.add_retry(verdict::RetryReason::ConnectFailed);
    counters.add_many("answer", 2);
    counters.add("answer");
}

#[test]
fn snapshot_is_sorted_by_name() {
    let counters = telemetry::Counters::new(None);
    add_sample_counts(&counters);
    let counts = counters.snapshot().into_iter();
    let lines: Vec<String> = counts
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    expect!["answer 3, refusal.no-route.not-run 1, retry.connect-failed 1"]
        .assert_eq(&lines.join(", "));
}

/// Returns the first three datagrams that a sink on `address` receives.
fn datagrams_sent_to(address: &str) -> String {
    let sink = net::UdpSocket::bind(address).expect("a port");
    sink.set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a time limit");
    let counters = telemetry::Counters::new(Some(sink.local_addr().expect("an address")));
    add_sample_counts(&counters);
    let receive = || {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let length = sink.recv(&mut datagram).expect("a datagram");
        String::from_utf8_lossy(&datagram[..length]).into_owned()
    };
    [receive(), receive(), receive()].join(", ")
}

#[test]
fn sends_each_count_to_the_sink() {
    expect!["foxtailwinch.refusal.no-route.not-run:1|c, foxtailwinch.retry.connect-failed:1|c, foxtailwinch.answer:2|c"]
        .assert_eq(&datagrams_sent_to("127.0.0.1:0"));
}

#[test]
fn counts_when_no_sink_listens() {
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let counters = telemetry::Counters::new(Some(unused_address));
    add_sample_counts(&counters);
    assert_eq!(counters.snapshot().get("answer"), Some(&3));
}

/// Returns the number of each event, as written in its source file.
fn event_numbers() -> Vec<u16> {
    let source = include_str!("../src/telemetry/event.rs");
    let (_, kinds) = source
        .split_once("pub enum Event {")
        .expect("the start of the enum");
    let (kinds, _) = kinds.split_once("\n}").expect("the end of the enum");
    let numbers = kinds.lines().filter_map(|line| line.split_once(" = "));
    numbers
        .map(|(_, number)| number.trim_end_matches(',').parse().expect("a number"))
        .collect()
}

#[test]
fn writes_event_numbers_with_four_digits() {
    expect!["FW0040"].assert_eq(&telemetry::Event::RequestRefused.code());
}

#[test]
fn catalogue_lists_each_event() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/events.md");
    let catalogue = fs::read_to_string(path).unwrap_or_default();
    let codes = event_numbers()
        .into_iter()
        .map(|number| format!("FW{number:04}"));
    let missing: Vec<String> = codes.filter(|code| !catalogue.contains(code)).collect();
    assert!(missing.is_empty(), "not in docs/events.md: {missing:?}");
}
