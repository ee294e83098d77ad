//! Stand-ins for the cases of the second review: the platform's store, entry VMs as
//! processes, and small HTTP/1.1 helpers. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Ports of an entry VM; each VM has a loopback address of its own.
pub const CALLER_PORT: u16 = 8_548;
const DIRECTORY_PORT: u16 = 8_546;
const CONTROL_PORT: u16 = 8_544;
const READY_PORT: u16 = 8_542;
const PEER_PORT: u16 = 7_540;
const METRICS_PORT: u16 = 9_464;

/// Host that all routes belong to.
pub const HOST: &str = "shop.example";

/// Log of what was sent, answered and run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
    path: PathBuf,
}

impl Record {
    /// Creates the log of the case whose folder is the first argument.
    pub fn new() -> Self {
        let folder = std::env::args().nth(1).expect("the folder of the case");
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            path: PathBuf::from(folder).join("record.txt"),
        }
    }

    pub fn line(&self, text: impl Into<String>) {
        let at = self.started.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Writes the log, prints the verdict, and returns the exit code of the case.
    pub fn finish(&self, is_broken: bool, verdict: &str) -> process::ExitCode {
        self.line(verdict);
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines: Vec<String> = lines
            .iter()
            .map(|(at, text)| format!("{at:>6} ms  {text}"))
            .collect();
        fs::write(&self.path, lines.join("\n") + "\n").expect("record.txt");
        println!("{verdict}");
        process::ExitCode::from(u8::from(is_broken))
    }
}

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Simple random numbers from a seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

/// Head of a message, with its first line and its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    fn content_length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").contains("chunked")
    }
}

/// Connection that reads messages one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn end_of_connection() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects to `address` within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 65_536];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(end_of_connection());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&text).into_owned();
                let mut lines = text.lines();
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Head {
                    first_line,
                    headers: headers.collect(),
                });
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next part of a body and returns its size.
    pub fn read_part(&mut self) -> io::Result<usize> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let count = self.buffer.len();
        self.buffer.clear();
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that belongs to `head`, to its end.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.take(head.content_length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.take(size)?);
            self.take_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Returns a request of a client, with its id and time limit.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nFoxtailwinch-Request-Id: {id}\r\n\
         Foxtailwinch-Deadline-Ms: {deadline_ms}\r\n"
    );
    if method == "POST" {
        bytes += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (bytes + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call of its own connection; `None` if there is no complete answer in time.
pub fn call(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Option<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address).ok()?;
    let timeout = Some(Duration::from_millis(timeout_ms));
    connection.stream.set_read_timeout(timeout).ok()?;
    connection.stream.write_all(request).ok()?;
    let head = connection.read_head().ok()?;
    let body = connection.read_body(&head).ok()?;
    Some((head, body))
}

#[derive(Default)]
struct Topic {
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    records: Vec<Vec<u8>>,
}

/// The platform's store, with the calls on keyed topics that the program makes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let store = Self {
            address: listener.local_addr().unwrap(),
            topics: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while store.serve(&mut connection).is_ok() {}
                });
            }
        });
        store
    }

    /// Writes a record as the operator or a server does. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, record);
    }

    fn append(&self, topic: &str, record: Vec<u8>) -> u64 {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let value = record[key_end..].to_vec();
        let offset = topic.records.len() as u64;
        if value.is_empty() {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (offset, value));
        }
        topic.records.push(record);
        offset
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        let head = connection.read_head()?;
        let body = connection.read_body(&head)?;
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values.next().map_or("", |(_, value)| value).to_owned()
        };
        let topic = parameter("topic");
        let (status, body) = match path {
            "/log-append" => {
                let offset = self.append(&topic, body[4..].to_vec());
                let end = offset + 1;
                (
                    200,
                    format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes(),
                )
            }
            "/log-newest" => (200, self.newest(&topic, &parameter("after"))),
            "/log-read" => {
                let from = parameter("from").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                self.read(&topic, from, wait_ms)
            }
            _ => (404, Vec::new()),
        };
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write(&head, &body)
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let after = after.replace("%3A", ":").replace("%3a", ":");
        let newest = topic.newest.iter().filter(|(key, _)| **key > after);
        let items = newest.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = topic.records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(topic.to_owned()).or_default();
                let end_offset = topic.records.len() as u64;
                if from > end_offset {
                    return (410, b"{\"firstOffset\":0}".to_vec());
                }
                if from < end_offset || Instant::now() >= end {
                    let mut body = end_offset.to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for record in &topic.records[usize::try_from(from).unwrap()..] {
                        let length = u32::try_from(record.len()).unwrap();
                        body.extend_from_slice(&length.to_be_bytes());
                        body.extend_from_slice(record);
                    }
                    return (200, body);
                }
            }
            sleep_ms(4);
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let index = (number >> (18 - 6 * place)) & 63;
            let letter = char::from(LETTERS[index as usize]);
            text.push(if place <= three.len() { letter } else { '=' });
        }
    }
    text
}

/// Route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
}

/// Writes a configuration with these routes to the store.
pub fn put_configuration(store: &Store, version: u64, services: &[&str], routes: &[Route]) {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":330,\
                 \"protocol\":\"http\"}}"
            )
        })
        .collect();
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{0}\",\"pathPrefix\":\"/{0}/\",\"kind\":\"{1}\",\"service\":\"{2}\",\
             \"timeoutMs\":{3},\"targetLatencyMs\":3000,\"priority\":1,\"maxAttempts\":{4}}}",
            route.prefix, route.kind, route.service, route.timeout_ms, route.max_attempts
        )
    });
    let routes: Vec<String> = routes.collect();
    let configuration = format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":8388608,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    );
    store.put("keyed.op", "config", &configuration);
}

/// Returns the entry of a server in the store.
pub fn entry(service: &str, address: SocketAddr, born: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"pwani-kariakoo\",\
         \"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"warmupLeftMs\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Returns loopback addresses on which the ports of an entry VM are free.
fn free_ips(count: usize) -> Vec<IpAddr> {
    let mut number = process::id().wrapping_mul(61) & 0x003f_ffff;
    let mut ips = Vec::new();
    while ips.len() < count {
        number = (number + 1) & 0x003f_ffff;
        let [_, second, third, last] = number.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 64 | second, third, last));
        let ports = [
            CALLER_PORT,
            DIRECTORY_PORT,
            READY_PORT,
            PEER_PORT,
            METRICS_PORT,
        ];
        let is_free = |port: &u16| TcpListener::bind((ip, *port)).is_ok();
        if last != 0 && last != 255 && ports.iter().all(is_free) {
            ips.push(ip);
        }
    }
    ips
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case that still runs is given up.
const MAX_CASE_MS: u64 = 115_000;

/// Ends all processes and the case, which could not run.
fn give_up(reason: &str) -> ! {
    eprintln!("{reason}");
    for id in RUNNING.lock().unwrap().iter() {
        let _ = process::Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    process::exit(2)
}

/// Entry VM, run as a process with the command of the deploy file.
pub struct Vm {
    pub ip: IpAddr,
    pub name: String,
    process: process::Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    /// Starts `count` entry VMs of one zone with the bounds of the site `lebo-gateway`.
    pub fn start_all(count: usize, store: &Store) -> Vec<Self> {
        Self::start_with_bounds(count, store, &[])
    }

    /// Starts `count` entry VMs of one zone. The settings are those of the pages, with the
    /// bounds of the site `lebo-gateway` except those in `bounds`.
    pub fn start_with_bounds(count: usize, store: &Store, bounds: &[(&str, u64)]) -> Vec<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        thread::spawn(|| {
            sleep_ms(MAX_CASE_MS);
            give_up("the case takes too long");
        });
        let ips = free_ips(count);
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let seeds = seeds.join(",");
        let start = |(index, ip): (usize, &IpAddr)| {
            let name = format!("vm-{}", index + 1);
            let settings = folder.join(format!("{name}.toml"));
            let text = settings_text(&name, *ip, &seeds, store.address);
            fs::write(&settings, with_bounds(&text, bounds)).unwrap();
            let log = folder.join(format!("{name}.log"));
            let process = spawn(&settings, &log);
            Self {
                ip: *ip,
                name,
                process,
                settings,
                log,
            }
        };
        let vms: Vec<Self> = ips.iter().enumerate().map(start).collect();
        for vm in &vms {
            vm.wait_until_ready();
        }
        vms
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        let answer = call(
            SocketAddr::new(self.ip, READY_PORT),
            request.as_bytes(),
            1_000,
        );
        answer.is_some_and(|(head, _)| head.status() == 200)
    }

    /// Waits until the VM is ready. Ends the case with code 2 if it does not become so.
    pub fn wait_until_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        give_up(&format!("{} does not become ready", self.name));
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let _ = process::Command::new("kill")
            .args([format!("-{name}"), id])
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits until the process has ended, for `limit_ms` at most, after which it is killed.
    pub fn wait_until_ended(&mut self, limit_ms: u64) {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        while !self.has_ended() && Instant::now() < end {
            sleep_ms(5);
        }
        self.kill();
    }

    fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let id = self.process.id();
        RUNNING.lock().unwrap().retain(|running| *running != id);
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).unwrap();
        self.process = spawn(&self.settings, &self.log);
    }

    /// Lines of the program's own log that contain `part`.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_file(&self.settings);
            let _ = fs::remove_file(&self.log);
            if let Some(folder) = self.settings.parent() {
                // Succeeds for the last VM only.
                let _ = fs::remove_dir(folder);
            }
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> process::Child {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    let metrics_port = METRICS_PORT.to_string();
    let started = process::Command::new("target/release/foxtailwinch-platform")
        .args([
            "--settings",
            "deploy/gateway.yaml",
            "--metrics-port",
            &metrics_port,
        ])
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("FOXTAILWINCH_CONFIG", settings)
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn();
    match started {
        Ok(process) => {
            RUNNING.lock().unwrap().push(process.id());
            process
        }
        Err(error) => give_up(&format!("the program does not start: {error}")),
    }
}

fn with_bounds(text: &str, bounds: &[(&str, u64)]) -> String {
    let lines = text.lines().map(|line| {
        let name = line.split(" = ").next().unwrap_or("");
        let bound = bounds.iter().find(|(bound, _)| *bound == name);
        bound.map_or_else(
            || line.to_owned(),
            |(name, value)| format!("{name} = {value}"),
        )
    });
    lines.collect::<Vec<String>>().join("\n") + "\n"
}

fn settings_text(name: &str, ip: IpAddr, seeds: &str, store: SocketAddr) -> String {
    format!(
        r#"nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = "{ip}"
zone = "pwani-kariakoo"
region = "pwani"
internalPorts = [{PEER_PORT}, 7555]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
[zones]
pwani-kariakoo = "pwani"
kaskazini-arusha = "kaskazini"
[listen]
front = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
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
