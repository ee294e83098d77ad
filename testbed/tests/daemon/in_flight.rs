//! Tests of the count of requests in flight. A leaving VM waits for them, so a
//! request counts until its response has been sent or dropped.

use std::sync;
use std::sync::atomic;

use foxtailwinch::daemon;
use http_body_util::BodyExt as _;
use volo_http::body;
use volo_http::response;

use super::caller;
use super::scripted_server;
use super::step;
use super::vm;
use super::wait;

#[tokio::test]
async fn counts_a_request_until_its_response_is_read() {
    let count = sync::Arc::new(atomic::AtomicU64::new(0));
    let in_flight = daemon::InFlightGuard::start(&count);
    let response = in_flight.hold_until_sent(response::Response::new(body::Body::from("done")));
    let count_requests = || count.load(atomic::Ordering::Relaxed);
    assert_eq!(count_requests(), 1);
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    assert_eq!(
        (body.to_bytes().as_ref(), count_requests()),
        (b"done".as_slice(), 0)
    );
}

#[tokio::test]
async fn stops_counting_a_request_when_its_response_is_dropped() {
    let count = sync::Arc::new(atomic::AtomicU64::new(0));
    let in_flight = daemon::InFlightGuard::start(&count);
    drop(in_flight.hold_until_sent(response::Response::new(body::Body::from("done"))));
    assert_eq!(count.load(atomic::Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn counts_a_request_while_its_response_is_being_sent() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::partial_response(
        100,
        40,
        step::NextAction::Hang,
    )]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let stream = caller::start_request(vm.address, &caller::request("GET /bei", &[], "")).await;
    stream.readable().await.expect("the start of a response");
    assert_eq!(vm.traffic.in_flight_requests(), 1);
    drop(stream);
    wait::until("no request in flight", || {
        vm.traffic.in_flight_requests() == 0
    })
    .await;
}
