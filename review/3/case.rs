//! Downloads by clients that read slowly while their machine is stopped as planned.

#[path = "../common/standin.rs"]
mod standin;

use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::{Record, Server, ServerInfo, Store, Vm, VmSettings};

const RESPONSE_BYTES: usize = 540_000;
/// Rate at which the clients read.
const READ_BYTES_PER_S: usize = 180_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER_BYTES: i32 = 8_192;
const DEADLINE_MS: u64 = 15_000;
const GRACE: Duration = Duration::from_secs(6);
const ROUTE: &str = r#"{"name":"drawings","pathPrefix":"/drawings/","kind":"download","timeoutMs":15000,"targetLatencyMs":4000,"priority":2,"service":"pipearchive","maxAttempts":2}"#;
/// When the clients send their requests, in milliseconds after the signal.
const SENT_MS: [i64; 6] = [-300, 0, 300, 600, 900, 1_200];

/// What a client got.
struct Download {
    body_bytes: usize,
    status: u16,
}

/// Sends one request and reads the response slowly.
fn download(front: SocketAddr, id: &str) -> io::Result<Download> {
    let mut stream = standin::connect_with_small_buffer(front, RECEIVE_BUFFER_BYTES)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = standin::request_head("GET", "/drawings/7", id, DEADLINE_MS);
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    let mut received = Vec::new();
    let per_interval = READ_BYTES_PER_S * READ_INTERVAL.as_millis() as usize / 1_000;
    let mut bytes = vec![0; per_interval];
    let head_end = |received: &[u8]| received.windows(4).position(|w| w == b"\r\n\r\n");
    let started = Instant::now();
    let mut total = 0;
    loop {
        let count = stream.read(&mut bytes).unwrap_or(0);
        total += count;
        if received.len() < 4_096 {
            received.extend_from_slice(&bytes[..count]);
        }
        let body_bytes = head_end(&received).map_or(0, |end| total - end - 4);
        if count == 0 || body_bytes >= RESPONSE_BYTES {
            let text = String::from_utf8_lossy(&received).into_owned();
            let status = text
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            return Ok(Download {
                body_bytes,
                status: status.unwrap_or(0),
            });
        }
        let due = Duration::from_secs_f64(total as f64 / READ_BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}

fn main() {
    let folder = Path::new("review/3");
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
    let mut vms: Vec<Vm> = [ips[1], ips[2]]
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
    let signal_at = Instant::now() + Duration::from_millis(500);
    let clients: Vec<_> = SENT_MS
        .into_iter()
        .map(|sent_ms| {
            let record = record.clone();
            thread::spawn(move || {
                let sent_at = if sent_ms < 0 {
                    signal_at - Duration::from_millis(sent_ms.unsigned_abs())
                } else {
                    signal_at + Duration::from_millis(sent_ms.unsigned_abs())
                };
                thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                let id = standin::new_request_id();
                record.line(&format!("client sends {id}, {sent_ms} ms after the signal's time"));
                let result = download(front, &id);
                let took = sent_at.elapsed().as_secs_f64();
                match &result {
                    Ok(got) => record.line(&format!(
                        "client got status {} and {} of {RESPONSE_BYTES} bytes for {id} in {took:.1} s",
                        got.status, got.body_bytes
                    )),
                    Err(error) => record.line(&format!("client got no answer for {id}: {error}")),
                }
                (id, result, signal_at.elapsed())
            })
        })
        .collect();
    thread::sleep(signal_at.saturating_duration_since(Instant::now()));
    if standin::has_trouble() {
        vms[0].signal(standin::SIGTERM);
        record.line("the first VM gets SIGTERM");
        let end = signal_at + GRACE;
        while !vms[0].has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        let after = signal_at.elapsed().as_secs_f64();
        let ended = if vms[0].has_ended() {
            "has ended"
        } else {
            "is killed"
        };
        record.line(&format!("the first VM {ended} {after:.1} s after SIGTERM"));
        let _ = vms.remove(0);
    }
    let (mut whole, mut cut) = (0, 0);
    for client in clients {
        let Ok((id, result, ended_after)) = client.join() else {
            continue;
        };
        let was_run = run_ids.lock().unwrap().contains(&id);
        match result {
            Ok(got) if got.status == 200 && got.body_bytes >= RESPONSE_BYTES => whole += 1,
            // The last sixth of the grace time is left out.
            Ok(got) if got.status == 200 && was_run && ended_after < GRACE * 5 / 6 => cut += 1,
            _ => {}
        }
    }
    drop(vms);
    let summary = format!(
        "{} requests sent, {whole} answered whole, {cut} cut short",
        SENT_MS.len()
    );
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
