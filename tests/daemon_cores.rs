//! Tests of the daemon's parts that hold no socket: draining and rehearsed
//! servers, answers that break off, requests in flight.

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
    let config = configs::DaemonConfig::parse("settings", SETTINGS).expect("good settings");
    let context = context::Context {
        clock: sync::Arc::<context::ManualClock>::clone(clock),
        seed: SEED,
    };
    let runtime = daemon::ServiceRuntime::new("bei", sync::Arc::clone(&service), &config, &context);
    runtime.update(service, placement());
    sync::Arc::new(runtime)
}

/// Gives the servers that got any of many requests.
fn picked(runtime: &sync::Arc<daemon::ServiceRuntime>) -> Vec<String> {
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

#[test]
fn a_draining_server_gets_no_new_work() {
    let clock = sync::Arc::new(context::ManualClock::default());
    let runtime = runtime(&clock);
    assert_eq!(picked(&runtime), SERVER_IDS);

    runtime.record_draining("b");
    assert_eq!(picked(&runtime), ["a", "c"]);
    assert_eq!(runtime.draining_servers(), ["b"]);
    assert_eq!(runtime.take_draining_updates(), ["b"]);

    // What is said again soon is no news, but holds the server longer.
    clock.advance(4_000);
    runtime.record_draining("b");
    assert!(runtime.take_draining_updates().is_empty());
    // The other VMs' hold began with the last news: it is told again in time.
    clock.advance(5_500);
    runtime.record_draining("b");
    assert_eq!(runtime.take_draining_updates(), ["b"]);
    clock.advance(9_000);
    assert_eq!(picked(&runtime), ["a", "c"]);

    // Nothing said so for 10 s: the server is tried again.
    clock.advance(1_000);
    assert_eq!(picked(&runtime), SERVER_IDS);
}

#[test]
fn a_rehearsal_leaves_the_servers_as_it_found_them() {
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
    assert_eq!(picked(&runtime), ["b", "c"]);

    assert!(runtime.set_rehearsal_servers(&indexmap::IndexSet::new()));
    assert_eq!(state(&runtime), before);
    assert_eq!(picked(&runtime), SERVER_IDS);
    assert!(!runtime.set_rehearsal_servers(&indexmap::IndexSet::new()));
}

type Piece = Result<http_body::Frame<bytes::Bytes>, std::io::Error>;

/// Gives a body of these pieces, and where its end is noted.
fn answer_body(
    pieces: Vec<Piece>,
) -> (
    daemon::ResponseBody,
    sync::Arc<sync::Mutex<Vec<daemon::ResponseEnd>>>,
) {
    let ends = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let noted = sync::Arc::clone(&ends);
    let stream = http_body_util::StreamBody::new(stream::iter(pieces));
    let deadline = tokio::time::Instant::now() + time::Duration::from_mins(10);
    let on_end = move |end| noted.lock().expect("no panic").push(end);
    let body = daemon::ResponseBody::new(body::Body::from_body(stream), deadline, on_end);
    (body, ends)
}

fn piece(text: &'static str) -> http_body::Frame<bytes::Bytes> {
    http_body::Frame::data(bytes::Bytes::from_static(text.as_bytes()))
}

#[tokio::test]
async fn an_answer_that_breaks_off_ends_in_an_error() {
    let (whole, ends) = answer_body(vec![Ok(piece("one ")), Ok(piece("two"))]);
    let taken = whole.collect().await.expect("a whole answer");
    assert_eq!(taken.to_bytes(), "one two");
    assert_eq!(*ends.lock().expect("ends"), [daemon::ResponseEnd::Complete]);

    let broken = std::io::Error::other("connection lost");
    let (cut, ends) = answer_body(vec![Ok(piece("one ")), Err(broken)]);
    assert!(cut.collect().await.is_err());
    assert_eq!(
        *ends.lock().expect("ends"),
        [daemon::ResponseEnd::Truncated]
    );

    let (dropped, ends) = answer_body(vec![Ok(piece("one ")), Ok(piece("two"))]);
    drop(dropped);
    assert_eq!(
        *ends.lock().expect("ends"),
        [daemon::ResponseEnd::Cancelled]
    );
}

#[tokio::test]
async fn a_request_is_in_flight_until_its_whole_answer_is_taken() {
    let count = sync::Arc::new(atomic::AtomicU64::new(0));
    let in_flight = || count.load(atomic::Ordering::Relaxed);
    let (body, _) = answer_body(vec![Ok(piece("one ")), Ok(piece("two"))]);
    let answer = response::Response::new(body::Body::from_body(body));
    let mut answer = daemon::InFlightGuard::start(&count).hold_until_sent(answer);
    assert_eq!(in_flight(), 1);
    answer
        .body_mut()
        .frame()
        .await
        .expect("a piece")
        .expect("one");
    assert_eq!(in_flight(), 1);
    answer.into_body().collect().await.expect("the rest");
    assert_eq!(in_flight(), 0);
}
