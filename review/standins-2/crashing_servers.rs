//! Servers of one service that crash when they begin to run a request whose body begins
//! with `CRASH`. A server that has crashed is back after some seconds under a new id.

use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::support::{self, Connection, Record, Store, sleep_ms};

/// Time after a crash in which the server is back.
const BACK_MS: u64 = 2_500;
const HEARTBEAT_MS: u64 = 1_500;
/// Time for which a usual request runs.
const RUN_MS: u64 = 300;

/// Servers of one service.
#[derive(Clone)]
pub struct CrashingServers {
    /// Requests that were begun, with the time in milliseconds and the server's id.
    pub runs: Arc<Mutex<Vec<(u64, String, String)>>>,
    record: Record,
    service: &'static str,
    store: Store,
}

/// One lifetime of a server.
struct Lifetime {
    id: String,
    is_alive: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl CrashingServers {
    pub fn start(service: &'static str, count: usize, store: &Store, record: &Record) -> Self {
        let servers = Self {
            runs: Arc::default(),
            record: record.clone(),
            service,
            store: store.clone(),
        };
        for number in 1..=count {
            let servers = servers.clone();
            thread::spawn(move || {
                for life in 1.. {
                    servers.live(&format!("i-{number}-{life}"));
                    sleep_ms(BACK_MS);
                }
            });
        }
        servers
    }

    /// Runs one lifetime, until the server crashes.
    fn live(&self, id: &str) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let lifetime = Arc::new(Lifetime {
            id: id.to_owned(),
            is_alive: AtomicBool::new(true),
            streams: Mutex::default(),
        });
        self.check_in(&lifetime, address);
        while lifetime.is_alive.load(Ordering::SeqCst) {
            if let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                lifetime
                    .streams
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let (servers, lifetime) = (self.clone(), Arc::clone(&lifetime));
                thread::spawn(move || servers.serve(&lifetime, Connection::new(stream)));
            } else {
                sleep_ms(1);
            }
        }
    }

    /// Writes the server's entry regularly. Three check-ins after the crash, it lapses.
    fn check_in(&self, lifetime: &Arc<Lifetime>, address: SocketAddr) {
        let (servers, lifetime) = (self.clone(), Arc::clone(lifetime));
        let born = support::unix_ms();
        thread::spawn(move || {
            for sequence in 1.. {
                if !lifetime.is_alive.load(Ordering::SeqCst) {
                    break;
                }
                let entry = support::entry(servers.service, address, born, sequence);
                servers.store.put("keyed.servers", &lifetime.id, &entry);
                sleep_ms(HEARTBEAT_MS);
            }
            sleep_ms(HEARTBEAT_MS * 2);
            servers.store.put("keyed.servers", &lifetime.id, "");
        });
    }

    fn serve(&self, lifetime: &Lifetime, mut connection: Connection) {
        let id = &lifetime.id;
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
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
            let now_ms = self.record.now_ms();
            self.runs
                .lock()
                .unwrap()
                .push((now_ms, request.clone(), id.clone()));
            if body.starts_with(b"CRASH") {
                self.record
                    .line(format!("server {id} begins to run {request} and crashes"));
                lifetime.is_alive.store(false, Ordering::SeqCst);
                for stream in lifetime.streams.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                return;
            }
            sleep_ms(RUN_MS);
            if !lifetime.is_alive.load(Ordering::SeqCst) {
                return;
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nFoxtailwinch-Request-Id: {request}\r\n\
                 Foxtailwinch-Server-Signature: {id}.{request}\r\nContent-Length: 4\r\n\r\n"
            );
            if connection.write(&answer, b"done").is_err() {
                return;
            }
        }
    }
}
