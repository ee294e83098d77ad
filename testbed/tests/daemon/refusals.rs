//! Requests that are refused before a server is selected, and the headers of
//! refusals.

use expect_test::expect;

use super::caller;
use super::scripted_server;
use super::step;
use super::vm;

/// Sends a request that must not reach a server. Returns the rendered response.
async fn refusal(line: &str, headers: &[&str]) -> String {
    let server = scripted_server::ScriptedServer::new(&[step::Step::response("taken")]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let response = caller::send(vm.address, line, headers, "").await;
    assert_eq!(server.request_count(), 0, "{}", server.log());
    response.render()
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_without_configuration() {
    let vm = vm::Vm::start("").await;
    let response = caller::send(vm.address, "GET /bei", &[], "").await;
    expect!["503 no-configuration not-run"].assert_eq(&response.render());
    assert_eq!(vm.counter("refusal.no-configuration.not-run"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_without_a_route() {
    expect!["404 no-route not-run"].assert_eq(&refusal("GET /orodha", &[]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_invalid_headers() {
    let long_organisation = format!("x-organisation: {}", "o".repeat(513));
    let cases = [
        "x-deadline-ms: soon",
        "x-deadline-ms: -1",
        "x-organisation:",
        &long_organisation,
    ];
    for header in cases {
        let refusal = refusal("GET /bei", &[header]).await;
        assert_eq!(refusal, "400 request-invalid not-run", "{header}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_too_many_headers() {
    let headers: Vec<String> = (0..101).map(|index| format!("x-{index}: 1")).collect();
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let refusal = refusal("GET /bei", &headers).await;
    expect!["400 request-invalid not-run"].assert_eq(&refusal);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_an_order_without_a_key() {
    expect!["428 key-prefix-missing not-run"].assert_eq(&refusal("POST /agizo", &[]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_an_order_whose_key_has_no_valid_prefix() {
    for key in ["plain", "plain.key", "AAAA.key"] {
        let refusal = refusal("POST /agizo", &[&format!("idempotency-key: {key}")]).await;
        assert_eq!(refusal, "428 key-prefix-missing not-run", "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn offers_a_usable_key_prefix() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::response("done")]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let witness = vm::Vm::start("").await;
    vm.offer_prefix(&witness);
    let refused = caller::send(vm.address, "POST /agizo", &["idempotency-key: k1"], "").await;
    let prefix = refused.header("x-foxtailwinch-key-prefix");
    let key = format!("idempotency-key: {prefix}.k1");
    let response = caller::send(vm.address, "POST /agizo", &[&key], "").await;
    expect!["200 `done`"].assert_eq(&response.render());
}

/// Returns the retry-after times in milliseconds of `count` refusals.
async fn retry_after_times_ms(count: usize) -> Vec<u64> {
    let vm = vm::Vm::start("").await;
    let mut times_ms = Vec::new();
    for _ in 0..count {
        let response = caller::send(vm.address, "GET /bei", &[], "").await;
        let text = response.header("x-foxtailwinch-retry-after-ms");
        times_ms.push(text.parse().expect("a number"));
    }
    times_ms
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_the_retry_after_times() {
    let times_ms = retry_after_times_ms(8).await;
    assert!(
        times_ms.iter().any(|time_ms| *time_ms != times_ms[0]),
        "{times_ms:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_a_retry_after_time_for_an_order_that_may_have_run() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::partial_response(
        100,
        40,
        step::NextAction::Close,
    )]);
    let vm = vm::Vm::start_with_one_server(&server).await;
    let witness = vm::Vm::start("").await;
    let key = vm.key_header(&witness, "k1");
    let response = caller::send(vm.address, "POST /agizo", &[&key], "x").await;
    assert_ne!(response.header("x-foxtailwinch-retry-after-ms"), "0");
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_no_entry_points_when_none_are_known() {
    let vm = vm::Vm::start("").await;
    let response = caller::send(vm.address, "GET /.foxtailwinch/entry-points", &[], "").await;
    expect![[r#"200 `{"configuration_version":null,"entry_points":[]}`"#]]
        .assert_eq(&response.render());
}

#[tokio::test(flavor = "multi_thread")]
async fn echoes_the_request_id_in_every_refusal() {
    let vm = vm::Vm::start("").await;
    for headers in [&[][..], &["x-deadline-ms: soon"], &["x-organisation:"]] {
        let response = caller::send(vm.address, "GET /bei", headers, "").await;
        assert_eq!(response.header("x-request-id"), "r1", "{headers:?}");
    }
}
