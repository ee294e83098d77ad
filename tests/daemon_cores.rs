//! Tests of parts of the daemon that use no sockets: draining servers, servers in
//! rehearsal, truncated responses and requests in flight.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use foxtailwinch::balancing;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::context;
use foxtailwinch::daemon;
use futures::stream;
use http_body_util::BodyExt as _;
use volo_http::body;
use volo_http::response;

const PICK_COUNT: usize = 200;
const SEED: u64 = 20_261_204;
const SERVER_IDS: [&str; 3] = ["a", "b", "c"];
const SETTINGS: &str = "
availability_zone: kariakoo
caller_address: 127.0.0.1:1
log_service_address: 127.0.0.1:2
operator_address: 127.0.0.1:3
peer_address: 127.0.0.1:4
region: pwani
vm_id: vm-1
";

fn placement() -> daemon::Placement<'static> {
    daemon::Placement {
        availability_zone: "kariakoo",
        entry_vm_count: 1,
        region: "pwani",
    }
}

fn runtime(clock: &sync::Arc<context::ManualClock>) -> sync::Arc<daemon::ServiceRuntime> {
    let servers = SERVER_IDS.map(|server_id| {
        let server = bundle::BackendServer {
            address: net::SocketAddr::from(([127, 0, 0, 1], 5)),
            availability_zone: "kariakoo".to_owned(),
            connection_limit: 330,
            region: "pwani".to_owned(),
            slot_count: 6,
        };
        (server_id.to_owned(), server)
    });
    let service = sync::Arc::new(bundle::Service {
        servers: indexmap::IndexMap::from(servers),
        ..bundle::Service::default()
    });
    let config = configs::DaemonConfig::parse("settings", SETTINGS).expect("valid settings");
    let context = context::Context {
        clock: sync::Arc::<context::ManualClock>::clone(clock),
        seed: SEED,
    };
    let runtime = daemon::ServiceRuntime::new("bei", sync::Arc::clone(&service), &config, &context);
    runtime.update(service, placement());
    sync::Arc::new(runtime)
}

/// Returns the ids of the servers that were picked for any of `PICK_COUNT`
/// requests.
fn picked_servers(runtime: &sync::Arc<daemon::ServiceRuntime>) -> Vec<String> {
    let request = balancing::PickRequest {
        excluded: &[],
        may_spill: true,
    };
    let mut ids: Vec<String> = (0..PICK_COUNT)
        .filter_map(|_| runtime.pick_server(&request, placement()))
        .map(|server| server.server_id.clone())
        .collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Guards against requests to a draining server, and against a flood of reports
/// about it to the other VMs.
#[test]
fn a_draining_server_gets_no_new_work() {
    let clock = sync::Arc::new(context::ManualClock::default());
    let runtime = runtime(&clock);
    assert_eq!(picked_servers(&runtime), SERVER_IDS);

    runtime.record_draining("b");
    assert_eq!(picked_servers(&runtime), ["a", "c"]);
    assert_eq!(runtime.draining_servers(), ["b"]);
    assert_eq!(runtime.take_draining_updates(), ["b"]);

    // A repeated report soon after the first is not sent to the other VMs again,
    // but it extends the time for which this VM avoids the server.
    clock.advance(4_000);
    runtime.record_draining("b");
    assert!(runtime.take_draining_updates().is_empty());
    // The other VMs avoid the server for a limited time after the last report that
    // was sent to them, so the report is sent again before that time ends.
    clock.advance(5_500);
    runtime.record_draining("b");
    assert_eq!(runtime.take_draining_updates(), ["b"]);
    clock.advance(9_000);
    assert_eq!(picked_servers(&runtime), ["a", "c"]);

    // Without a report for 10 s, the server receives requests again.
    clock.advance(1_000);
    assert_eq!(picked_servers(&runtime), SERVER_IDS);
}

#[test]
fn servers_are_unchanged_after_a_rehearsal() {
    let clock = sync::Arc::new(context::ManualClock::default());
    let runtime = runtime(&clock);
    let state = |runtime: &daemon::ServiceRuntime| {
        (
            runtime.server_states(),
            runtime.draining_servers(),
            runtime.take_draining_updates(),
            runtime.unfinished_request_count(),
        )
    };
    let before = state(&runtime);

    let rehearsed = indexmap::IndexSet::from(["a".to_owned()]);
    assert!(runtime.set_rehearsal_servers(&rehearsed));
    assert_eq!(picked_servers(&runtime), ["b", "c"]);

    assert!(runtime.set_rehearsal_servers(&indexmap::IndexSet::new()));
    assert_eq!(state(&runtime), before);
    assert_eq!(picked_servers(&runtime), SERVER_IDS);
    assert!(!runtime.set_rehearsal_servers(&indexmap::IndexSet::new()));
}

type FrameResult = Result<http_body::Frame<bytes::Bytes>, std::io::Error>;

/// Returns a body of these frames and the list in which its end is recorded.
fn response_body(
    frames: Vec<FrameResult>,
) -> (
    daemon::ResponseBody,
    sync::Arc<sync::Mutex<Vec<daemon::ResponseEnd>>>,
) {
    let ends = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let recorded = sync::Arc::clone(&ends);
    let stream = http_body_util::StreamBody::new(stream::iter(frames));
    let deadline = tokio::time::Instant::now() + time::Duration::from_mins(10);
    let on_end = move |end| recorded.lock().expect("no panic").push(end);
    let body = daemon::ResponseBody::new(body::Body::from_body(stream), deadline, on_end);
    (body, ends)
}

fn frame(text: &'static str) -> http_body::Frame<bytes::Bytes> {
    http_body::Frame::data(bytes::Bytes::from_static(text.as_bytes()))
}

/// Guards against a truncated response that the caller takes for a complete
/// one.
#[tokio::test]
async fn a_truncated_response_body_ends_with_an_error() {
    let (complete, ends) = response_body(vec![Ok(frame("one ")), Ok(frame("two"))]);
    let collected = complete.collect().await.expect("a complete response");
    assert_eq!(collected.to_bytes(), "one two");
    assert_eq!(*ends.lock().expect("ends"), [daemon::ResponseEnd::Complete]);

    let broken = std::io::Error::other("connection lost");
    let (truncated, ends) = response_body(vec![Ok(frame("one ")), Err(broken)]);
    assert!(truncated.collect().await.is_err());
    assert_eq!(
        *ends.lock().expect("ends"),
        [daemon::ResponseEnd::Truncated]
    );

    let (dropped, ends) = response_body(vec![Ok(frame("one ")), Ok(frame("two"))]);
    drop(dropped);
    assert_eq!(
        *ends.lock().expect("ends"),
        [daemon::ResponseEnd::Cancelled]
    );
}

/// Guards against a graceful shutdown that ends while responses are still being
/// sent.
#[tokio::test]
async fn a_request_is_in_flight_until_its_complete_response_is_read() {
    let count = sync::Arc::new(atomic::AtomicU64::new(0));
    let in_flight = || count.load(atomic::Ordering::Relaxed);
    let (body, _) = response_body(vec![Ok(frame("one ")), Ok(frame("two"))]);
    let response = response::Response::new(body::Body::from_body(body));
    let mut response = daemon::InFlightGuard::start(&count).hold_until_sent(response);
    assert_eq!(in_flight(), 1);
    response
        .body_mut()
        .frame()
        .await
        .expect("a frame")
        .expect("one");
    assert_eq!(in_flight(), 1);
    response
        .into_body()
        .collect()
        .await
        .expect("remaining frames");
    assert_eq!(in_flight(), 0);
}
