//! Tests of backend server processes: crashes, and the run log that survives
//! them.

use std::{
    fs,
    io::BufRead as _,
    net, path,
    process::{Child, Command, Stdio},
};

use testbed::backend;

mod support;

struct Server {
    address: net::SocketAddr,
    process: Child,
}

impl Server {
    fn start(run_log: &path::Path, mode: &str) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_standin-backend"))
            .args(["--listen", "127.0.0.1:0", "--mode", mode, "--run-log"])
            .arg(run_log)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut line = String::new();
        let stdout = process.stdout.take().expect("a pipe");
        std::io::BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a line");
        let address = line.trim().rsplit(' ').next().expect("an address");
        Self {
            address: address.parse().expect("an address"),
            process,
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn new_run_log(name: &str) -> path::PathBuf {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn marked_request_crashes_the_server_process() {
    let run_log = new_run_log("marked.jsonl");
    let mut server = Server::start(&run_log, r#"{"mode":"crash-on-marked"}"#);
    let unmarked = support::send("POST", server.address, "/agizo", &[], "").await;
    assert_eq!(unmarked.status, 200);
    let headers = [("x-crash", "true"), ("idempotency-key", "k")];
    let marked = support::try_send("POST", server.address, "/agizo", &headers, "").await;
    assert!(marked.is_none());
    server.process.wait().expect("the end of the process");

    let next = Server::start(&run_log, r#"{"mode":"healthy"}"#);
    let runs = support::runs(next.address).await;
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].finished, backend::RunOutcome::Crashed);
    let headers = [("idempotency-key", "k")];
    let again = support::send("POST", next.address, "/agizo", &headers, "").await;
    let response: backend::ResponseBody =
        serde_json::from_str(&again.body.expect("a complete body")).expect("a response body");
    assert_eq!(response.run_count, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_of_a_killed_server_are_logged_as_crashed() {
    let run_log = new_run_log("killed.jsonl");
    let server = Server::start(&run_log, r#"{"mode":"healthy"}"#);
    let address = server.address;
    let request = tokio::spawn(async move {
        let headers = [("x-work-ms", "600000")];
        support::try_send("POST", address, "/agizo", &headers, "").await
    });
    support::wait_for_run(address, backend::RunOutcome::Running).await;
    drop(server);
    assert!(request.await.expect("no panic").is_none());
    let log = backend::RunLog::read(&run_log).expect("a run log");
    assert_eq!(log.records()[0].finished, backend::RunOutcome::Crashed);
}
