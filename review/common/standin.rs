//! Stand-ins for the review cases: the platform's store, backend servers and clients.
//!
//! Only the standard library is used, so that `review/build.sh` needs no crate. Every
//! address is a loopback address. Each stand-in does what the users' pages allow and
//! otherwise behaves like a sound program.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Interval at which servers renew their registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Check-in intervals of silence after which the store drops a registration.
const SILENT_HEARTBEATS: u32 = 3;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|e| not_run(&format!("record: {e}")));
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Ids of the processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run.
pub fn not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    finish(NOT_RUN);
}

/// Ends all processes that were started, and the case.
pub fn finish(code: i32) -> ! {
    for id in CHILDREN.lock().unwrap().iter() {
        unsafe { kill(*id as i32, SIGKILL) };
    }
    std::process::exit(code);
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns an address of the loopback range that no other process listens on.
pub fn loopback_ip(number: u8) -> Ipv4Addr {
    let id = std::process::id();
    for shift in 0..64_u32 {
        let mixed = id.wrapping_mul(2_654_435_761).wrapping_add(shift * 7_919);
        let second = 64 + (mixed >> 8 & 0x3f) as u8;
        let third = (mixed & 0xff) as u8;
        let ip = Ipv4Addr::new(127, second, third, number);
        let ports = [8_541, 8_542, 8_546, 8_548, 7_540, 8_080, 9_464];
        let is_free = ports
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok());
        if is_free {
            return ip;
        }
    }
    not_run("no free loopback address");
}

/// Head of a request or response: the first line, and the headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
}

/// Connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65_536];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first_line,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads bytes of a body until there are `count` or the connection ends, and returns
    /// their number.
    pub fn read_up_to(&mut self, count: usize) -> usize {
        while self.buffer.len() < count && matches!(self.fill(), Ok(1..)) {}
        self.buffer.len().min(count)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body that has a length or comes in chunks. Without either, a request has
    /// none.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if !is_chunked {
            let length = head
                .header("content-length")
                .and_then(|length| length.parse().ok());
            return self.take(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| not_run(&format!("{address}: {error}")))
}

/// Stand-in for the platform's store: keyed topics with one partition.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let address = SocketAddr::new(IpAddr::V4(ip), 8_541);
        let store = Self {
            address,
            topics: Arc::default(),
        };
        let listener = listen(address);
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a record as the operator or a server does. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (topics, changed) = &*self.topics;
        topics
            .lock()
            .unwrap()
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        changed.notify_all();
    }

    /// Waits for the next record of any topic, for two seconds at most.
    pub fn wait_for_record(&self) {
        let (topics, changed) = &*self.topics;
        drop(changed.wait_timeout(topics.lock().unwrap(), Duration::from_secs(2)));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let (status, body) = self.respond(&head, &body);
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [response.as_bytes(), &body].concat();
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| value);
            values.next().unwrap_or("").to_owned()
        };
        let topic = parameter("topic");
        match path {
            "/log-append" => {
                let (topics, changed) = &*self.topics;
                let mut topics = topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = body;
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    if rest.len() < 4 + length {
                        return (400, Vec::new());
                    }
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = records.len();
                changed.notify_all();
                (
                    200,
                    format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes(),
                )
            }
            "/log-newest" => (200, self.newest(&topic, &parameter("after")).into_bytes()),
            "/log-read" => {
                let from = parameter("from").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                (200, self.read(&topic, from, Duration::from_millis(wait_ms)))
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            if key_end == record.len() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, base64(&record[key_end..])));
            }
        }
        let items = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{end}}}",
            items.join(",")
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let end = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let count = topics.get(topic).map_or(0, Vec::len);
            let left = end.saturating_duration_since(Instant::now());
            if count > from || left.is_zero() {
                let mut bytes = (count as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
                for record in records.iter().skip(from) {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return bytes;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Request that arrived at a server completely.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub body: Vec<u8>,
    pub head: Head,
    pub id: String,
}

/// What a server does with a request: writes the response to the connection. Returns
/// whether the connection stays open.
pub type Handler =
    Arc<dyn Fn(&ServerInfo, &Arrived, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
}

/// Stand-in for a backend server that registers itself in the store.
pub struct Server {
    pub info: ServerInfo,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_beating: Arc<AtomicBool>,
    is_up: Arc<AtomicBool>,
    store: Store,
}

impl Server {
    pub fn start(info: ServerInfo, store: &Store, handler: Handler) -> Self {
        let server = Self {
            connections: Arc::default(),
            info: info.clone(),
            is_beating: Arc::new(AtomicBool::new(true)),
            is_up: Arc::new(AtomicBool::new(true)),
            store: store.clone(),
        };
        let listener = listen(info.address);
        listener
            .set_nonblocking(true)
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let (is_up, connections) = (server.is_up.clone(), server.connections.clone());
        let served = info.clone();
        thread::spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(kept) = stream.try_clone() {
                            connections.lock().unwrap().push(kept);
                        }
                        let (info, handler) = (served.clone(), handler.clone());
                        thread::spawn(move || serve(&info, Connection::new(stream), &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let (is_beating, store) = (server.is_beating.clone(), store.clone());
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.map_or(1, |born| born.as_millis());
        server.put(&record(&info, born, 1));
        thread::spawn(move || {
            for sequence in 2_u64.. {
                thread::sleep(HEARTBEAT);
                if !is_beating.load(Ordering::SeqCst) {
                    return;
                }
                store.put("keyed.servers", &info.id, &record(&info, born, sequence));
            }
        });
        server
    }

    fn put(&self, record: &str) {
        self.store.put("keyed.servers", &self.info.id, record);
    }

    /// Removes the registration without notice. The server serves for `serving` and exits.
    pub fn leave(&self, serving: Duration) {
        self.is_beating.store(false, Ordering::SeqCst);
        self.put("");
        let (is_up, connections) = (self.is_up.clone(), self.connections.clone());
        thread::spawn(move || {
            thread::sleep(serving);
            is_up.store(false, Ordering::SeqCst);
            for stream in connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Crashes the server: it says nothing more, its connections are reset, and connection
    /// attempts are refused. The store drops its registration after three intervals.
    pub fn crash(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (store, id) = (self.store.clone(), self.info.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
            store.put("keyed.servers", &id, "");
        });
    }
}

fn record(info: &ServerInfo, born: u128, sequence: u64) -> String {
    let ServerInfo {
        address,
        service,
        zone,
        ..
    } = info;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmupLeftMs\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    )
}

fn serve(info: &ServerInfo, mut connection: Connection, handler: &Handler) {
    while let Ok(Some(head)) = connection.read_head() {
        let Ok(body) = connection.read_body(&head) else {
            return;
        };
        let id = head
            .header("foxtailwinch-request-id")
            .unwrap_or("")
            .to_owned();
        let expected = head
            .header("foxtailwinch-expect-instance")
            .unwrap_or(&info.id);
        let stays_open = if head.path() == "/health" {
            let line = format!("Foxtailwinch-Instance-Id: {}\r\n", info.id);
            respond(&mut connection.stream, 200, &line, b"").map(|()| true)
        } else if expected != info.id {
            let line = format!("Foxtailwinch-Instance-Id: {}\r\n", info.id);
            respond(&mut connection.stream, 421, &line, b"").map(|()| true)
        } else {
            handler(info, &Arrived { body, head, id }, &mut connection.stream)
        };
        if !matches!(stays_open, Ok(true)) {
            return;
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, lines: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{lines}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Returns the header lines of a response to the request `id` that the server has run.
pub fn receipt(info: &ServerInfo, id: &str) -> String {
    format!(
        "Foxtailwinch-Request-Id: {id}\r\nFoxtailwinch-Server-Signature: {}.{id}\r\n\
         Foxtailwinch-Server-Load: 1,0,6\r\n",
        info.id
    )
}

/// Returns the configuration `r1` with one route of host `shop.example`.
pub fn configuration(route: &str, services: &[&str]) -> String {
    let services = services.iter();
    let services = services.map(|name| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":330}}")
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":\"r1\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"hosts\":[{{\"host\":\"shop.example\",\"paths\":[{route}]}}]}}",
        services.join(",")
    )
}

/// Entry VM, started with the command of the deploy file.
pub struct Vm {
    pub ip: Ipv4Addr,
    process: Child,
    settings: PathBuf,
}

/// Settings of an entry VM that differ between the cases.
pub struct VmSettings<'a> {
    pub ip: Ipv4Addr,
    pub memory_mb: u32,
    pub seeds: &'a [Ipv4Addr],
    pub store: SocketAddr,
    pub zone: &'a str,
}

impl Vm {
    pub fn start(settings: &VmSettings<'_>) -> Self {
        let path = std::env::temp_dir().join(format!("review-{}.toml", settings.ip));
        if let Err(error) = fs::write(&path, settings_text(settings)) {
            not_run(&format!("settings: {error}"));
        }
        let words = deploy_command();
        let process = Command::new(&words[0])
            .args(&words[1..])
            .env("FOXTAILWINCH_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn();
        let process = process.unwrap_or_else(|e| not_run(&format!("{}: {e}", words[0])));
        CHILDREN.lock().unwrap().push(process.id());
        Self {
            ip: settings.ip,
            process,
            settings: path,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8_548)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), 8_542);
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = Connection::new(stream);
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let _ = connection.stream.write_all(request);
        matches!(connection.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until all VMs are ready and know each other.
    pub fn wait_until_ready(vms: &[Self]) {
        let end = Instant::now() + Duration::from_secs(20);
        while !vms.iter().all(Self::is_ready) {
            if Instant::now() > end {
                not_run("a VM is not ready within 20 s");
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(4));
    }

    pub fn signal(&self, signal: i32) {
        // The child has not been waited for, so the id is still its own.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let id = self.process.id();
        CHILDREN.lock().unwrap().retain(|known| *known != id);
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the words of the command that the deploy file names for the gateway.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml")
        .unwrap_or_else(|e| not_run(&format!("deploy/system.toml: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    let command = command.unwrap_or_else(|| not_run("no command in the deploy file"));
    command.split(' ').map(str::to_owned).collect()
}

fn settings_text(settings: &VmSettings<'_>) -> String {
    let VmSettings {
        ip,
        memory_mb,
        seeds,
        store,
        zone,
    } = settings;
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{seed}:8544\""))
        .collect();
    let seeds = seeds.join(",");
    let region = &zone[..1];
    format!(
        r#"nodeName = "front-{ip}"
role = "gateway"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [7540,7555]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[zones]
a-1 = "a"
a-2 = "a"
b-1 = "b"
[listen]
front = "{ip}:8548"
ready = "{ip}:8542"
control = "{ip}:8544"
directory = "{ip}:8546"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 200.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 58
recoveryS = 15
ttl_max_s = 5
probesPerS = 3
minShare = 0.7
[provider]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"#
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns the id of a new client attempt.
pub fn new_request_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Returns the head of a client's request, without the final empty line.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nFoxtailwinch-Request-Id: {id}\r\n\
         Foxtailwinch-Deadline-Ms: {deadline_ms}\r\n"
    )
}

/// Opens a connection with a small receive buffer, as a client that reads slowly has.
pub fn connect_with_small_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    extern "C" {
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // sockaddr_in: family, port and address in network byte order, padding.
    let mut name = [0_u8; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&ip.octets());
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        if connect(fd, name.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Proxy between one VM and the store. While it is cut, it forwards nothing and answers
/// nothing, as a partition does.
pub struct StorePath {
    pub address: SocketAddr,
    pub call_count: Arc<AtomicU64>,
    is_cut: Arc<AtomicBool>,
}

/// Path between two machines with a delay each way, for TCP and UDP.
pub struct Link {
    /// Number of connections that came in on the near side.
    pub connection_count: Arc<AtomicU64>,
}

impl Link {
    /// Forwards what arrives at `near` to `far`, `delay` later, and the answers back.
    pub fn start(near: SocketAddr, far: SocketAddr, delay: Duration) -> Self {
        let listener = listen(near);
        let connection_count: Arc<AtomicU64> = Arc::default();
        let count = connection_count.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    // The handshake takes a round trip.
                    thread::sleep(delay * 2);
                    let Ok(far) = TcpStream::connect(far) else {
                        return;
                    };
                    let _ = near.set_nodelay(true);
                    let _ = far.set_nodelay(true);
                    let ends = (near.try_clone(), far.try_clone());
                    let (Ok(near_again), Ok(far_again)) = ends else {
                        return;
                    };
                    thread::spawn(move || forward_later(near, far, delay));
                    forward_later(far_again, near_again, delay);
                });
            }
        });
        let inner = UdpSocket::bind(near).and_then(|inner| Ok((inner.try_clone()?, inner)));
        let outer =
            UdpSocket::bind((near.ip(), 0)).and_then(|outer| Ok((outer.try_clone()?, outer)));
        let (Ok((inner_again, inner)), Ok((outer_again, outer))) = (inner, outer) else {
            not_run("no datagram socket");
        };
        let caller: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let known = caller.clone();
        thread::spawn(move || {
            let mut bytes = [0; 65_536];
            while let Ok((length, from)) = inner.recv_from(&mut bytes) {
                *known.lock().unwrap() = Some(from);
                send_later(&outer, bytes[..length].to_vec(), far, delay);
            }
        });
        thread::spawn(move || {
            let mut bytes = [0; 65_536];
            while let Ok((length, _)) = outer_again.recv_from(&mut bytes) {
                let to = *caller.lock().unwrap();
                if let Some(to) = to {
                    send_later(&inner_again, bytes[..length].to_vec(), to, delay);
                }
            }
        });
        Self { connection_count }
    }
}

fn send_later(socket: &UdpSocket, bytes: Vec<u8>, to: SocketAddr, delay: Duration) {
    let Ok(socket) = socket.try_clone() else {
        return;
    };
    thread::spawn(move || {
        thread::sleep(delay);
        let _ = socket.send_to(&bytes, to);
    });
}

/// Forwards bytes in order, each piece `delay` after it came in.
fn forward_later(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut bytes = [0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        if sender
            .send((Instant::now() + delay, bytes[..length].to_vec()))
            .is_err()
        {
            break;
        }
    }
}

impl StorePath {
    pub fn start(ip: Ipv4Addr, store: SocketAddr) -> Self {
        let address = SocketAddr::new(IpAddr::V4(ip), 8_541);
        let path = Self {
            address,
            call_count: Arc::default(),
            is_cut: Arc::default(),
        };
        let listener = listen(address);
        let (is_cut, call_count) = (path.is_cut.clone(), path.call_count.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let ends = (near.try_clone(), far.try_clone());
                let (Ok(near_again), Ok(far_again)) = ends else {
                    continue;
                };
                let (cut, count) = (is_cut.clone(), call_count.clone());
                thread::spawn(move || forward(near, far, &cut, Some(&count)));
                let cut = is_cut.clone();
                thread::spawn(move || forward(far_again, near_again, &cut, None));
            }
        });
        path
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

/// Forwards bytes, and holds them while the path is cut.
fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, count: Option<&AtomicU64>) {
    let mut bytes = [0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        if let Some(count) = count {
            count.fetch_add(1, Ordering::SeqCst);
        }
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
