//! Tests of a stand-in backend server through its HTTP interface, healthy and
//! in each gray mode.

use std::{net, time};

use expect_test::expect;
use testbed::backend;

mod support;

fn settings() -> backend::Settings {
    backend::Settings {
        mean_work_ms: 0.0,
        name: "bei-1".to_owned(),
        ..backend::Settings::default()
    }
}

/// Time within which any response would have arrived.
const NO_RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

async fn post(address: net::SocketAddr, request_id: &str) -> support::Reply {
    let headers = [
        ("x-request-id", request_id),
        ("idempotency-key", request_id),
    ];
    support::send("POST", address, "/agizo", &headers, "abc").await
}

fn response_body(reply: &support::Reply) -> backend::ResponseBody {
    serde_json::from_str(reply.body.as_ref().expect("a complete body")).expect("a response body")
}

async fn outcomes(address: net::SocketAddr) -> String {
    let runs = support::runs(address).await.into_iter();
    runs.map(|run| format!("{} {:?}", run.request_id, run.finished))
        .collect::<Vec<_>>()
        .join(", ")
}

#[tokio::test(flavor = "multi_thread")]
async fn response_describes_the_received_request() {
    let address = support::start_backend(settings());
    let reply = post(address, "r1").await;
    assert_eq!(reply.header("x-request-id"), "r1");
    expect!["1/6"].assert_eq(reply.header("x-load"));
    expect![[r#"{"body_bytes":3,"body_sha256":"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad","request_id":"r1","run_count":1,"server":"bei-1"}"#]]
        .assert_eq(reply.body.as_ref().expect("a complete body"));
    assert_eq!(response_body(&post(address, "r1").await).run_count, 2);
    expect!["r1 Answered, r1 Answered"].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_are_not_run() {
    let address = support::start_backend(backend::Settings {
        slot_count: 0,
        ..settings()
    });
    let full = post(address, "r1").await;
    assert_eq!((full.status, full.header("x-not-run")), (503, "true"));

    let address = support::start_backend(settings());
    let headers = [("x-deadline-ms", "20"), ("x-work-ms", "21")];
    let late = support::send("GET", address, "/bei", &headers, "").await;
    assert_eq!((late.status, late.header("x-not-run")), (503, "true"));

    support::send("POST", address, "/control/drain", &[], "").await;
    let draining = post(address, "r2").await;
    assert_eq!(
        (draining.status, draining.header("x-not-run")),
        (503, "true")
    );
    assert_eq!(draining.header("x-draining"), "true");
    expect![""].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_finishes_running_requests() {
    let address = support::start_backend(settings());
    let headers = [("x-request-id", "r1"), ("x-work-ms", "2000")];
    let running =
        tokio::spawn(async move { support::send("POST", address, "/agizo", &headers, "").await });
    support::wait_for_run(address, backend::RunOutcome::Running).await;
    support::send("POST", address, "/control/drain", &[], "").await;
    let reply = running.await.expect("no panic");
    assert_eq!((reply.status, reply.header("x-draining")), (200, "true"));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_in_the_queue_for_a_slot() {
    let address = support::start_backend(backend::Settings {
        queue_requests: 1,
        slot_count: 1,
        ..settings()
    });
    let work = [("x-work-ms", "50")];
    let send = || support::send("GET", address, "/bei", &work, "");
    let (first, second) = futures::join!(send(), send());
    assert_eq!((first.status, second.status), (200, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn run_is_cancelled_when_the_caller_disconnects() {
    let address = support::start_backend(settings());
    let abandoned = tokio::spawn(async move {
        let headers = [("x-work-ms", "600000")];
        support::try_send("POST", address, "/agizo", &headers, "").await
    });
    support::wait_for_run(address, backend::RunOutcome::Running).await;
    abandoned.abort();
    support::wait_for_run(address, backend::RunOutcome::Cancelled).await;
    let load = support::send("GET", address, "/load", &[], "").await;
    expect![[r#"{"draining":false,"in_flight":0,"slots":6}"#]]
        .assert_eq(&load.body.expect("a complete body"));
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_server_runs_the_request_and_returns_500() {
    let address = support::start_backend(settings());
    support::set_mode(address, r#"{"mode":"failing","percent":100}"#).await;
    let reply = post(address, "r1").await;
    assert_eq!((reply.status, reply.header("x-not-run")), (500, ""));
    expect!["r1 Failed"].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_server_returns_the_response_of_another_request() {
    let address = support::start_backend(settings());
    post(address, "r1").await;
    support::set_mode(address, r#"{"mode":"wrong","percent":100}"#).await;
    let reply = post(address, "r2").await;
    assert_eq!(reply.header("x-request-id"), "r1");
    assert_eq!(response_body(&reply).request_id, "r1");
    expect!["r1 Answered, r2 Wrong"].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_responses_end_early() {
    let address = support::start_backend(settings());
    support::set_mode(address, r#"{"mode":"truncated","percent":100}"#).await;
    let reply = post(address, "r1").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, None);
    expect!["r1 Truncated"].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_alive_server_accepts_requests_and_never_responds() {
    let address = support::start_backend(settings());
    support::set_mode(address, r#"{"mode":"half-alive"}"#).await;
    let waited = tokio::time::timeout(NO_RESPONSE_TIMEOUT, post(address, "r1")).await;
    assert!(waited.is_err());
    let health = support::send("GET", address, "/health", &[], "").await;
    assert_eq!(health.status, 200);
    expect![""].assert_eq(&outcomes(address).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_server_runs_requests_and_never_responds() {
    let address = support::start_backend(settings());
    support::set_mode(address, r#"{"mode":"one-way"}"#).await;
    let waiting = tokio::spawn(post_without_response(address));
    support::wait_for_run(address, backend::RunOutcome::Lost).await;
    assert!(!waiting.is_finished());
    waiting.abort();
}

async fn post_without_response(address: net::SocketAddr) {
    support::try_send("POST", address, "/agizo", &[], "").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn health_endpoint_reports_gray_modes_only_if_honest() {
    for (honest_health, status) in [(false, 200), (true, 503)] {
        let address = support::start_backend(backend::Settings {
            honest_health,
            ..settings()
        });
        support::set_mode(address, r#"{"mode":"slow","factor":5}"#).await;
        let health = support::send("GET", address, "/health", &[], "").await;
        assert_eq!(health.status, status);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_gray_modes_are_rejected() {
    let address = support::start_backend(settings());
    let mut refusals = Vec::new();
    for mode in [
        r#"{"mode":"tired"}"#,
        r#"{"mode":"failing","percent":101}"#,
        r#"{"mode":"slow","factor":-1}"#,
    ] {
        let reply = support::send("POST", address, "/control/mode", &[], mode).await;
        refusals.push(format!(
            "{} {}",
            reply.status,
            reply.body.unwrap_or_default()
        ));
    }
    expect![[r"
        400 invalid gray mode: unknown variant `tired`, expected one of `crash-on-marked`, `failing`, `flapping`, `half-alive`, `healthy`, `one-way`, `slow`, `truncated`, `wrong` at line 1 column 15
        400 percent must lie between 0 and 100, found 101
        400 factor must lie between 0 and 1000000, found -1"]]
    .assert_eq(&refusals.join("\n"));
}
