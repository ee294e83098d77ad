//! Request bodies that are too large, stall or end early.

use expect_test::expect;
use tokio::io::AsyncWriteExt as _;

use super::caller;
use super::scripted_server;
use super::step;
use super::vm;
use super::wait;

/// Line of the settings file that sets a short limit on the time for which a
/// caller may stop sending.
const SHORT_CALLER_IDLE: &str = "caller_idle_ms: 200";

async fn start(extra_settings: &str) -> (vm::Vm, scripted_server::ScriptedServer) {
    let server = scripted_server::ScriptedServer::new(&[step::Step::response("taken")]);
    let addresses = [server.listen().await];
    (
        vm::Vm::start_with_settings(&addresses, extra_settings).await,
        server,
    )
}

/// Returns a chunked body with one chunk of `length_bytes` and the final chunk.
fn chunked(length_bytes: usize) -> String {
    format!(
        "{length_bytes:x}\r\n{}\r\n0\r\n\r\n",
        "x".repeat(length_bytes)
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_a_body_of_unknown_length() {
    let (vm, _server) = start("").await;
    let head = caller::head("PUT /bei", &["transfer-encoding: chunked"]);
    let response = caller::send_raw(vm.address, &(head + &chunked(900_000))).await;
    expect!["200 `taken`"].assert_eq(&response.render());
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_body_over_the_limit_before_forwarding_it() {
    let (vm, server) = start("").await;
    let head = caller::head("PUT /bei", &["content-length: 1000001"]);
    let response = caller::send_raw(vm.address, &head).await;
    expect!["413 body-too-large not-run"].assert_eq(&response.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn aborts_a_body_of_unknown_length_over_the_limit() {
    let (vm, server) = start("").await;
    let head = caller::head("PUT /bei", &["transfer-encoding: chunked"]);
    let response = caller::send_raw(vm.address, &(head + &chunked(1_000_001))).await;
    expect!["413 body-too-large may-have-run"].assert_eq(&response.render());
    wait::until("request body truncated", || {
        server.has_logged("1 body truncated")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_caller_that_stops_sending_a_small_body() {
    let (vm, server) = start(SHORT_CALLER_IDLE).await;
    let head = caller::head("PUT /bei", &["content-length: 100"]);
    let response = caller::send_raw(vm.address, &(head + "part")).await;
    expect!["408 caller-too-slow not-run"].assert_eq(&response.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_caller_that_stops_sending_a_large_body() {
    let (vm, server) = start(SHORT_CALLER_IDLE).await;
    let head = caller::head("PUT /bei", &["content-length: 900000"]);
    let response = caller::send_raw(vm.address, &(head + "part")).await;
    expect!["408 caller-too-slow may-have-run"].assert_eq(&response.render());
    wait::until("request body truncated", || {
        server.has_logged("1 body truncated")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn aborts_the_request_body_when_the_caller_disconnects() {
    let (vm, server) = start("").await;
    let head = caller::head("PUT /bei", &["content-length: 900000"]);
    let mut stream = caller::start_request(vm.address, &(head + "part")).await;
    wait::until("request received by the server", || {
        server.request_count() == 1
    })
    .await;
    stream
        .shutdown()
        .await
        .expect("a shutdown of the connection");
    drop(stream);
    wait::until("request body truncated", || {
        server.has_logged("1 body truncated")
    })
    .await;
    wait::until("no request in flight", || {
        vm.traffic.in_flight_requests() == 0
    })
    .await;
}
