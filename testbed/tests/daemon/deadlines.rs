//! Requests whose deadline passes.

use expect_test::expect;

use super::caller;
use super::scripted_server;
use super::step;
use super::vm;
use super::wait;

/// Header of a request with a short deadline.
const SHORT_DEADLINE: &str = "x-deadline-ms: 200";

#[tokio::test(flavor = "multi_thread")]
async fn closes_a_connection_whose_request_timed_out() {
    let server =
        scripted_server::ScriptedServer::new(&[step::Step::hang(), step::Step::response("12.50")]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let response = caller::send(vm.address, "GET /bei", &[SHORT_DEADLINE], "").await;
    expect!["504 deadline-exceeded may-have-run"].assert_eq(&response.render());
    wait::until("connection to the server closed", || {
        server.has_logged("1 closed")
    })
    .await;
    let response = caller::send(vm.address, "GET /bei", &[], "").await;
    expect!["200 `12.50`"].assert_eq(&response.render());
    expect!["1 request GET /bei\n1 closed\n2 request GET /bei"].assert_eq(&server.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn truncates_a_response_at_the_deadline() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::partial_response(
        100,
        40,
        step::NextAction::Hang,
    )]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let response = caller::send(vm.address, "GET /bei", &[SHORT_DEADLINE], "").await;
    expect!["200 truncated"].assert_eq(&response.render());
    wait::until("connection to the server closed", || {
        server.has_logged("1 closed")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn never_reruns_an_order_that_timed_out() {
    let server =
        scripted_server::ScriptedServer::new(&[step::Step::hang(), step::Step::response("done")]);
    let vm = vm::Vm::start_with_two_servers(&server).await;
    let witness = vm::Vm::start("").await;
    let key = vm.key_header(&witness, "k1");
    let first = caller::send(vm.address, "POST /agizo", &[&key, SHORT_DEADLINE], "x").await;
    expect!["504 deadline-exceeded may-have-run"].assert_eq(&first.render());
    let second = caller::send(vm.address, "POST /agizo", &[&key], "x").await;
    expect!["409 key-may-have-run may-have-run"].assert_eq(&second.render());
    assert_eq!(server.request_count(), 1, "{}", server.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_may_have_run_when_the_response_to_an_order_is_too_slow() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::partial_response(
        100,
        40,
        step::NextAction::Hang,
    )]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let witness = vm::Vm::start("").await;
    let key = vm.key_header(&witness, "k1");
    let response = caller::send(vm.address, "POST /agizo", &[&key, SHORT_DEADLINE], "x").await;
    expect!["504 deadline-exceeded may-have-run"].assert_eq(&response.render());
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_request_whose_deadline_has_passed() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::response("12.50")]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    for _ in 0..200 {
        let response = caller::send(vm.address, "GET /bei", &["x-deadline-ms: 0"], "").await;
        assert_eq!(response.render(), "504 deadline-exceeded not-run");
    }
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn waits_for_a_running_order_only_until_the_deadline() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::hang()]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let witness = vm::Vm::start("").await;
    let key = vm.key_header(&witness, "k1");
    let text = caller::request("POST /agizo", &[&key], "x");
    let _running = caller::start_request(vm.address, &text).await;
    wait::until("request received by the server", || {
        server.request_count() == 1
    })
    .await;
    let second = caller::send(vm.address, "POST /agizo", &[&key, SHORT_DEADLINE], "x").await;
    expect!["504 deadline-exceeded may-have-run"].assert_eq(&second.render());
    assert_eq!(server.request_count(), 1);
}
