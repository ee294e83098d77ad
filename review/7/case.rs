//! Clients that read a large response slowly while the entry VM stops as planned.
//!
//! Each client reads some of its response, makes one pause of 2.6 s and reads the rest at
//! once. All of them would be done more than two seconds before the end of the grace time.

#[path = "../standins-2/support.rs"]
mod support;

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

use support::{Connection, Record, Route, Store, Vm, sleep_ms};

const RUN_MS: u64 = 250;
const GRACE_MS: u64 = 6_000;
/// Size of each response. The site's largest are of 540,000 bytes.
const RESPONSE_BYTES: usize = 500_000;
const FIRST_BYTES: usize = 20_000;
const PAUSE_MS: u64 = 2_600;
const CLIENTS: u64 = 10;
/// When the first request is sent, after the SIGTERM, and the time between two of them. All
/// are sent within half of the lifetime of the program's entry-point answers (3 s).
const FIRST_MS: u64 = 300;
const STEP_MS: u64 = 130;

/// Starts a server that responds to each request with `RESPONSE_BYTES` after `RUN_MS`.
fn start_server(id: &'static str, record: &Record, runs: &Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.read_head() {
                    if head.path() == "/health" {
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nFoxtailwinch-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        if connection.write(&answer, b"").is_err() {
                            return;
                        }
                        continue;
                    }
                    let request = head.header("foxtailwinch-request-id").to_owned();
                    sleep_ms(RUN_MS);
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nFoxtailwinch-Request-Id: {request}\r\n\
                         Foxtailwinch-Server-Signature: {id}.{request}\r\n\
                         Content-Length: {RESPONSE_BYTES}\r\n\r\n"
                    );
                    if connection
                        .write(&answer, &vec![b'x'; RESPONSE_BYTES])
                        .is_err()
                    {
                        record.line(format!("server {id}: the connection of {request} broke"));
                        return;
                    }
                    record.line(format!(
                        "server {id} has sent all of the answer to {request}"
                    ));
                    runs.lock().unwrap().push(request);
                }
            });
        }
    });
    address
}

/// Reads a response with one pause. Returns the number of bytes of its body, and the error
/// that ended it early.
fn read_slowly(connection: &mut Connection) -> (usize, Option<std::io::Error>) {
    let mut count = 0;
    let read = connection.read_head().and_then(|_| {
        while count < FIRST_BYTES {
            count += connection.read_part()?;
        }
        sleep_ms(PAUSE_MS);
        while count < RESPONSE_BYTES {
            count += connection.read_part()?;
        }
        Ok(())
    });
    (count, read.err())
}

fn main() -> ExitCode {
    let record = Record::new();
    let has_trouble = support::has_trouble();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    for id in ["i-1", "i-2", "i-3"] {
        let address = start_server(id, &record, &runs);
        let entry = support::entry("pipearchive", address, support::unix_ms(), 1);
        store.put("keyed.servers", id, &entry);
    }
    let route = Route {
        prefix: "drawing",
        kind: "download",
        service: "pipearchive",
        timeout_ms: 15_000,
        max_attempts: 2,
    };
    support::put_configuration(&store, 1, &["pipearchive"], &[route]);
    let bounds = [
        ("drainMs", 3_000),
        ("configApplyMs", 3_000),
        ("retrySlack", 168),
    ];
    let mut vms = Vm::start_with_bounds(3, &store, &bounds);
    sleep_ms(4_500);
    let base_ms = record.now_ms();
    let outcomes: Arc<Mutex<Vec<(String, bool, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
        let (address, id) = (vms[0].address(), format!("drawing-{number}"));
        clients.push(thread::spawn(move || {
            sleep_ms(FIRST_MS + number * STEP_MS);
            let mut connection = Connection::open(address).expect("a VM that accepts connections");
            let path = format!("/drawing/{id}");
            let request = support::request("GET", &path, &id, 15_000, b"");
            record.line(format!("client {id} sends its request"));
            connection.stream.write_all(&request).expect("a request");
            let (count, error) = read_slowly(&mut connection);
            let is_complete = count == RESPONSE_BYTES;
            let now_ms = record.now_ms();
            record.line(format!(
                "client {id}: {} after {count} of {RESPONSE_BYTES} bytes{}",
                if is_complete {
                    "complete"
                } else {
                    "broken off"
                },
                error
                    .filter(|_| !is_complete)
                    .map_or_else(String::new, |error| format!(" ({error})")),
            ));
            outcomes.lock().unwrap().push((id, is_complete, now_ms));
        }));
    }
    if has_trouble {
        record.line(format!("SIGTERM to {}", vms[0].name));
        vms[0].signal("TERM");
        vms[0].wait_until_ended(GRACE_MS);
        record.line(format!("{} has ended", vms[0].name));
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let outcomes = outcomes.lock().unwrap();
    // Broken off before the last sixth of the grace time, although the server had sent all.
    let lost = outcomes.iter().filter(|(id, is_complete, ended_ms)| {
        !is_complete && runs.contains(id) && *ended_ms < base_ms + GRACE_MS * 5 / 6
    });
    let lost: Vec<&str> = lost.map(|(id, ..)| id.as_str()).collect();
    for line in vms[0].log_lines("stalled") {
        record.line(format!("log of {}: {line}", vms[0].name));
    }
    let verdict = format!(
        "LOST: {} of {} answers that servers had given in full were broken off: {}",
        lost.len(),
        outcomes.len(),
        lost.join(" ")
    );
    record.finish(!lost.is_empty(), &verdict)
}
