//! Tests of the history check on real runs. A fleet without claims runs some
//! orders twice, which the check must find; with healthy servers it must find
//! no violation.

use std::{net, path, process};

use expect_test::expect;
use http::StatusCode;
use testbed::{backend, caller, http_io};

mod support;

fn start_server(name: &str) -> net::SocketAddr {
    support::start_backend(backend::Settings {
        mean_work_ms: 1.0,
        name: name.to_owned(),
        ..backend::Settings::default()
    })
}

/// Serves the addresses of the backend servers as entry points, which makes a
/// fleet without guarantees.
fn start_directory(servers: [net::SocketAddr; 2]) -> net::SocketAddr {
    let entry_points = servers.map(|address| caller::EntryPoint {
        address,
        availability_zone: String::new(),
        key_prefix: format!("p{}", address.port()),
        lifetime_ms: 600_000,
    });
    let response = caller::EntryPointResponse {
        configuration_version: serde_json::Value::Null,
        entry_points: entry_points.to_vec(),
    };
    support::start(move |_request| {
        let response = http_io::json(StatusCode::OK, &response);
        async move { response }
    })
}

async fn send_orders(directory: net::SocketAddr, history: &path::Path) -> caller::Report {
    let settings = caller::Settings {
        body_bytes: 500,
        concurrency: 1,
        deadline_ms: 3_000,
        entry_addresses: vec![directory],
        history_path: Some(history.to_owned()),
        keyed: true,
        method: http::Method::POST,
        request_count: 3,
        run_id: "run".to_owned(),
        ..caller::Settings::default()
    };
    let run = caller::CallerRun::new(settings).expect("a caller");
    run.run().await
}

fn check(history: &path::Path, servers: [net::SocketAddr; 2]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_check-history"))
        .arg("--history")
        .arg(history)
        .args(servers.map(|server| format!("http://{server}/control/runs")))
        .output()
        .expect("a process");
    let text = String::from_utf8(output.stdout).expect("text");
    let port_free = text.replace(&servers[1].port().to_string(), "PORT");
    (output.status.code(), port_free)
}

fn history_path(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[tokio::test(flavor = "multi_thread")]
async fn healthy_servers_cause_no_violation() {
    let servers = [start_server("agizo-1"), start_server("agizo-2")];
    let history = history_path("healthy.jsonl");
    let report = send_orders(start_directory(servers), &history).await;
    assert_eq!(report.final_outcomes.get("answered"), Some(&3));
    let (exit_code, text) = check(&history, servers);
    expect![[r"
        0 violations in 3 attempts (3 answered, 0 not run) and 3 runs of 3 keys
    "]]
    .assert_eq(&text);
    assert_eq!(exit_code, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_that_ran_twice_are_found() {
    let servers = [start_server("agizo-1"), start_server("agizo-2")];
    support::set_mode(servers[1], r#"{"mode":"one-way"}"#).await;
    let history = history_path("one-way.jsonl");
    send_orders(start_directory(servers), &history).await;
    let (exit_code, text) = check(&history, servers);
    expect![[r"
        ran twice: pPORT.run-1-1 on agizo-1, agizo-2
        ran twice: pPORT.run-2-1 on agizo-1, agizo-2
        2 violations in 5 attempts (3 answered, 0 not run) and 5 runs of 3 keys
    "]]
    .assert_eq(&text);
    assert_eq!(exit_code, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_server_ends_the_check_with_an_error() {
    let server = start_server("agizo-1");
    let gone = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let history = history_path("gone.jsonl");
    send_orders(start_directory([server, server]), &history).await;
    let (exit_code, text) = check(&history, [server, gone]);
    assert_eq!((exit_code, text.as_str()), (Some(2), ""));
}
