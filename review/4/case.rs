//! Clients that send three reads ahead while their machine is stopped as planned.

#[path = "../common/standin.rs"]
mod standin;

use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::{Record, Server, ServerInfo, Store, Vm, VmSettings};

const CLIENT_COUNT: u64 = 8;
const RESPONSE_BYTES: usize = 300_000;
const WORK: Duration = Duration::from_millis(900);
const DEADLINE_MS: u64 = 15_000;
/// Pause between two requests of a client, so that they do not share a segment.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);
const REQUEST_COUNT: usize = 3;
/// Largest number of bytes that a client takes at once, and how often it does.
const READ_BYTES: usize = 16_384;
const READ_INTERVAL: Duration = Duration::from_millis(2);
const ROUTE: &str = r#"{"name":"drawings","pathPrefix":"/drawings/","kind":"download","timeoutMs":15000,"targetLatencyMs":4000,"priority":2,"service":"pipearchive","maxAttempts":2}"#;

/// What a client got for the requests of its connection.
struct Outcome {
    /// Complete responses.
    whole: usize,
    /// Body bytes of the response that the connection ended in, if it did.
    cut: Option<usize>,
    end: String,
}

fn run_client(front: SocketAddr, ids: &[String]) -> io::Result<Outcome> {
    let stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut writing = stream.try_clone()?;
    for id in ids {
        let head = standin::request_head("GET", "/drawings/7", id, DEADLINE_MS);
        writing.write_all(format!("{head}\r\n").as_bytes())?;
        thread::sleep(REQUEST_PAUSE);
    }
    let mut reading = stream;
    let mut received: Vec<u8> = Vec::new();
    let mut bytes = vec![0; READ_BYTES];
    let mut whole = 0;
    loop {
        let end = received
            .windows(4)
            .take(4_096)
            .position(|window| window == b"\r\n\r\n");
        if let Some(end) = end.filter(|end| received.len() >= end + 4 + RESPONSE_BYTES) {
            let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
            received.drain(..end + 4 + RESPONSE_BYTES);
            whole += 1;
            if head.contains("connection: close") || whole == ids.len() {
                return Ok(Outcome {
                    whole,
                    cut: None,
                    end: "complete".to_owned(),
                });
            }
            continue;
        }
        let end_text = match reading.read(&mut bytes) {
            Ok(0) => "closed".to_owned(),
            Ok(count) => {
                received.extend_from_slice(&bytes[..count]);
                thread::sleep(READ_INTERVAL);
                continue;
            }
            Err(error) => error.to_string(),
        };
        let cut = end.map(|end| received.len() - end - 4);
        return Ok(Outcome {
            whole,
            cut,
            end: end_text,
        });
    }
}

fn main() {
    let folder = Path::new("review/4");
    let record = Record::create(&folder.join("record.txt"));
    let ips: Vec<_> = (1..=6).map(standin::loopback_ip).collect();
    let store = Store::start(ips[0]);
    store.put(
        "keyed.op",
        "config",
        &standin::configuration(ROUTE, &["pipearchive"]),
    );
    let run_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let handler: standin::Handler = {
        let (record, run_ids) = (record.clone(), run_ids.clone());
        Arc::new(move |info, request, stream| {
            run_ids.lock().unwrap().push(request.id.clone());
            thread::sleep(WORK);
            let body = vec![b'x'; RESPONSE_BYTES];
            standin::respond(stream, 200, &standin::receipt(info, &request.id), &body)?;
            record.line(&format!(
                "server {} has run and answered {}",
                info.id, request.id
            ));
            Ok(true)
        })
    };
    let _servers: Vec<Server> = (0..2)
        .map(|number: usize| {
            let info = ServerInfo {
                address: SocketAddr::new(IpAddr::V4(ips[3 + number]), 8_080),
                id: format!("i-{number:02}"),
                service: "pipearchive".to_owned(),
                zone: "a-1".to_owned(),
            };
            Server::start(info, &store, handler.clone())
        })
        .collect();
    let vms: Vec<Vm> = [ips[1], ips[2]]
        .iter()
        .map(|ip| {
            Vm::start(&VmSettings {
                ip: *ip,
                memory_mb: 260,
                seeds: &ips[1..2],
                store: store.address,
                zone: "a-1",
            })
        })
        .collect();
    Vm::wait_until_ready(&vms);
    record.line("two VMs are ready");
    let front = vms[0].front();
    let start = Instant::now() + Duration::from_millis(100);
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let begins = start + Duration::from_millis(10 * number);
                thread::sleep(begins.saturating_duration_since(Instant::now()));
                let ids: Vec<String> =
                    (0..REQUEST_COUNT).map(|_| standin::new_request_id()).collect();
                record.line(&format!("client {number} sends {}", ids.join(", ")));
                let outcome = run_client(front, &ids);
                match &outcome {
                    Ok(got) => record.line(&format!(
                        "client {number}: {} whole answers, then {}, body bytes of a cut answer: {:?}",
                        got.whole, got.end, got.cut
                    )),
                    Err(error) => record.line(&format!("client {number}: {error}")),
                }
                (ids, outcome)
            })
        })
        .collect();
    let signal_at = start + Duration::from_millis(400);
    thread::sleep(signal_at.saturating_duration_since(Instant::now()));
    if standin::has_trouble() {
        vms[0].signal(standin::SIGTERM);
        record.line("the first VM gets SIGTERM");
    }
    let (mut whole, mut cut) = (0, 0);
    for client in clients {
        let Ok((ids, Ok(got))) = client.join() else {
            continue;
        };
        whole += got.whole;
        let was_run = ids
            .get(got.whole)
            .is_some_and(|id| run_ids.lock().unwrap().contains(id));
        // A request that was not passed on to a server is not counted.
        if was_run && got.whole < ids.len() && got.end != "complete" {
            cut += 1;
        }
    }
    drop(vms);
    let summary = format!("{whole} answers were whole, {cut} requests that ran were cut off");
    record.line(&summary);
    println!("{summary}");
    if whole + cut == 0 {
        standin::not_run("no request was run");
    }
    standin::finish(if cut > 0 {
        standin::BROKEN
    } else {
        standin::HELD
    });
}
