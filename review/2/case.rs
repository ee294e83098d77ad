//! A machine restarts while a server leaves the registry without notice.

#[path = "../common/standin.rs"]
mod standin;

use std::io::{self, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::{Connection, Link, Record, Server, ServerInfo, Store, Vm, VmSettings};

const SERVER_COUNT: usize = 24;
const ROUND_COUNT: usize = 16;
const ROUND: Duration = Duration::from_millis(6_200);
/// One-way delay between the two regions.
const DELAY: Duration = Duration::from_millis(30);
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time between the first connection of the restarted machine to the store and the removal.
const REMOVAL_DELAY: Duration = Duration::from_millis(70);
/// Time for which a server that has left the registry goes on serving.
const SERVING: Duration = Duration::from_secs(16);
const WORK: Duration = Duration::from_millis(300);
const CLIENT_COUNT: usize = 30;
const DEADLINE_MS: u64 = 6_000;
const ROUTE: &str = r#"{"name":"order","pathPrefix":"/order/","kind":"unsafe","timeoutMs":6000,"targetLatencyMs":3000,"priority":1,"service":"agizo","maxAttempts":2}"#;

fn order(front: SocketAddr, id: &str) -> io::Result<u16> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut connection = Connection::new(stream);
    let head = standin::request_head("POST", "/order/7", id, DEADLINE_MS);
    let request = format!("{head}Content-Length: 5\r\nConnection: close\r\n\r\nlabel");
    connection.stream.write_all(request.as_bytes())?;
    let head = connection.read_head()?;
    Ok(head.map_or(0, |head| head.status()))
}

fn main() {
    let folder = Path::new("review/2");
    let record = Record::create(&folder.join("record.txt"));
    let ips: Vec<_> = (1..=60).map(standin::loopback_ip).collect();
    let (store_ip, near_ip, far_ip) = (ips[0], ips[1], ips[2]);
    let (link_ip, store_path_ip) = (ips[3], ips[4]);
    let store = Store::start(store_ip);
    store.put(
        "keyed.op",
        "config",
        &standin::configuration(ROUTE, &["agizo"]),
    );
    // Arrivals: server, request id and time.
    let arrivals: Arc<Mutex<Vec<(String, String, Instant)>>> = Arc::default();
    let handler: standin::Handler = {
        let arrivals = arrivals.clone();
        Arc::new(move |info, request, stream| {
            arrivals
                .lock()
                .unwrap()
                .push((info.id.clone(), request.id.clone(), Instant::now()));
            thread::sleep(WORK);
            standin::respond(stream, 200, &standin::receipt(info, &request.id), b"taken")?;
            Ok(true)
        })
    };
    let servers: Vec<Server> = (0..SERVER_COUNT)
        .map(|number| {
            let info = ServerInfo {
                address: SocketAddr::new(IpAddr::V4(ips[20 + number]), 8_080),
                id: format!("i-{number:02}"),
                service: "agizo".to_owned(),
                zone: "b-1".to_owned(),
            };
            // Heartbeats of different servers are spread over the interval.
            thread::sleep(standin::HEARTBEAT / SERVER_COUNT as u32);
            Server::start(info, &store, handler.clone())
        })
        .collect();
    // The store and the first machine are in region a, the second machine in region b.
    let store_path = SocketAddr::new(IpAddr::V4(store_path_ip), 8_541);
    let store_link = Link::start(store_path, store.address, DELAY);
    let near = Vm::start(&VmSettings {
        ip: near_ip,
        memory_mb: 260,
        seeds: &[near_ip],
        store: store.address,
        zone: "a-1",
    });
    let far_peer = SocketAddr::new(IpAddr::V4(near_ip), 7_540);
    let _link = Link::start(SocketAddr::new(IpAddr::V4(link_ip), 7_540), far_peer, DELAY);
    let seeds = [far_ip, link_ip];
    let start_far = || {
        Vm::start(&VmSettings {
            ip: far_ip,
            memory_mb: 260,
            seeds: &seeds,
            store: store_path,
            zone: "b-1",
        })
    };
    let mut vms = vec![near, start_far()];
    Vm::wait_until_ready(&vms);
    record.line("two VMs are ready, one in each region");
    let is_over = Arc::new(AtomicBool::new(false));
    let front = vms[1].front();
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|_| {
            let is_over = is_over.clone();
            thread::spawn(move || {
                let mut served = 0;
                while !is_over.load(Ordering::SeqCst) {
                    match order(front, &standin::new_request_id()) {
                        Ok(200) => served += 1,
                        _ => thread::sleep(Duration::from_millis(100)),
                    }
                }
                served
            })
        })
        .collect();
    // Removal of each server, and the start of the machine beside it.
    let mut left: Vec<(String, Instant, Instant)> = Vec::new();
    for round in 0..ROUND_COUNT {
        let began = Instant::now();
        let mut before = store_link.connection_count.load(Ordering::SeqCst);
        if standin::has_trouble() {
            record.line("the machine in region b is killed");
            drop(vms.pop());
            thread::sleep(Duration::from_millis(500));
            before = store_link.connection_count.load(Ordering::SeqCst);
            vms.push(start_far());
        }
        let started = Instant::now();
        while store_link.connection_count.load(Ordering::SeqCst) == before {
            thread::sleep(Duration::from_millis(1));
            if started.elapsed() > Duration::from_secs(2) {
                break;
            }
        }
        thread::sleep(REMOVAL_DELAY);
        servers[round].leave(SERVING);
        let removed = Instant::now();
        record.line(&format!(
            "the registration of {} is removed {} ms after the machine's start",
            servers[round].info.id,
            removed.duration_since(started).as_millis()
        ));
        left.push((servers[round].info.id.clone(), removed, started));
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
    }
    is_over.store(true, Ordering::SeqCst);
    let served: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    drop(vms);
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    for (round, (id, removed, started)) in left.iter().enumerate() {
        let due = (*removed + DRAIN).max(*started + CONTACT);
        // The next restart ends the time in which the machine is in touch.
        let end = left
            .get(round + 1)
            .map_or(*removed + ROUND, |(.., next)| *next);
        let to_server = arrivals.iter().filter(|(server, ..)| server == id);
        let after: Vec<_> = to_server
            .filter(|(.., at)| *at > due && *at < end)
            .collect();
        late += after.len();
        let last = after
            .iter()
            .map(|(.., at)| at.duration_since(*removed).as_secs_f64());
        record.line(&format!(
            "{id}: {} requests later than drainMs, the last after {:.1} s",
            after.len(),
            last.fold(0.0, f64::max)
        ));
    }
    let summary = format!("{served} orders served, {late} reached a server later than drainMs");
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        standin::not_run("no order was served");
    }
    standin::finish(if late > 0 {
        standin::BROKEN
    } else {
        standin::HELD
    });
}
