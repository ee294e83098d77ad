//! Stand-ins for the platform's store, backend servers, clients and network paths, and the
//! start of the project's own program as separate processes. Only the standard library is
//! used.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Command line of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/foxtailwinch-platform";
const PROGRAM_ARGUMENTS: [&str; 4] = ["--settings", "deploy/gateway.yaml", "--metrics-port", "9464"];
pub const HOST: &str = "shop.example";
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// `struct linger` of the C library.
#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

/// Makes the system reset a connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { is_on: 1, seconds: 0 };
    // SAFETY: the socket is open, and the value is as long as stated.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const linger, 8);
    }
}

/// Time after which a case ends as not run, with all processes that it started.
pub const CASE_LIMIT: Duration = Duration::from_secs(105);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and the processes that it started, if it takes too long.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        for process in STARTED.lock().unwrap().iter() {
            // SAFETY: a process that this case started and has not waited for.
            unsafe {
                kill(*process as i32, 9);
            }
        }
        std::process::exit(NOT_RUN);
    });
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the case applies its disruption: all but `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// File in which a case notes what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    begun_at: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            begun_at: Instant::now(),
            lines: Arc::new(Mutex::new(Vec::new())),
            path: folder.join("record.txt"),
        }
    }

    /// Milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        self.begun_at.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        self.note_at(self.now_ms(), line);
    }

    pub fn note_at(&self, at_ms: u64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    pub fn sleep_until(&self, at_ms: u64) {
        let now_ms = self.now_ms();
        thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms)));
    }

    /// Writes the record, in the order of time, with the result.
    pub fn finish(&self, result: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut text = String::new();
        for (at_ms, line) in lines {
            text.push_str(&format!("{:9.3} s  {line}\n", at_ms as f64 / 1000.0));
        }
        text.push_str(result);
        text.push('\n');
        let _ = fs::write(&self.path, text);
        println!("{result}");
    }
}

/// Ends the case with a result, after all processes were ended by dropping `running`.
pub fn end<T>(record: &Record, running: T, code: i32, result: &str) -> ! {
    drop(running);
    record.finish(result);
    std::process::exit(code)
}

/// Returns a loopback address of this run.
pub fn unused_ip() -> IpAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst) as u32;
    let bits = ((std::process::id() << 10) | number) & 0x003f_ffff;
    let [_, b, c, d] = bits.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | b, c, d))
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((unused_ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// ---------------------------------------------------------------- HTTP

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, number: usize) -> &str {
        self.first_line.split(' ').nth(number).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reader of messages from a connection.
pub struct MessageReader {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, unread: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { first_line, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                if self.unread.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a message. A response without a length ends with its connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if is_chunked {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                let part = self.read_exact(size)?;
                message.body.extend_from_slice(&part);
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.read_exact(length)?;
            return Ok(());
        }
        if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.unread);
        }
        Ok(())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message, false)?;
        Ok(Some(message))
    }

    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message, true)?;
        Ok(Some(message))
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    Ok(stream)
}

pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nFoxtailwinch-Request-Id: {id}\r\n\
         Foxtailwinch-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Sends one request on a new connection and returns the response.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<Message> {
    let mut stream = connect(address)?;
    stream.write_all(request_head(method, path, id, deadline_ms, body.len()).as_bytes())?;
    stream.write_all(body)?;
    let response = MessageReader::new(stream).read_response()?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    newest: BTreeMap<String, (usize, Vec<u8>)>,
    records: Vec<Vec<u8>>,
}

/// Stand-in of the platform's store: keyed topics with one partition each.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<HashMap<String, Topic>>>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = listen();
        let store = Self { address, topics: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the record of a key, or removes the key if the value is empty.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, record);
    }

    fn append(&self, topic: &str, record: Vec<u8>) -> usize {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let offset = topic.records.len();
        if record.len() == key_end {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (offset, record[key_end..].to_vec()));
        }
        topic.records.push(record);
        offset
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(request)) = reader.read_request() {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if reader.stream.write_all(&[head.into_bytes(), body].concat()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let name = parameter("topic");
        match path {
            "/log-append" => {
                let offset = self.append(name, request.body[4..].to_vec());
                let body = format!("{{\"offset\":{offset},\"endOffset\":{}}}", offset + 1);
                (200, body.into_bytes())
            }
            "/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(name.to_owned()).or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let end = topic.records.len();
                let items = items.join(",");
                let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}");
                (200, body.into_bytes())
            }
            "/log-read" => {
                let from: usize = parameter("from").parse().unwrap_or(0);
                let wait_ms: u64 = parameter("waitMs").parse().unwrap_or(0);
                let end_at = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    {
                        let mut topics = self.topics.lock().unwrap();
                        let topic = topics.entry(name.to_owned()).or_default();
                        let end = topic.records.len();
                        if from > end {
                            return (410, b"{\"firstOffset\":0}".to_vec());
                        }
                        if from < end || Instant::now() >= end_at {
                            let mut body = (end as u64).to_be_bytes().to_vec();
                            body.extend_from_slice(&0_u64.to_be_bytes());
                            for record in &topic.records[from..] {
                                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                                body.extend_from_slice(record);
                            }
                            return (200, body);
                        }
                    }
                    thread::sleep(Duration::from_millis(2));
                }
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns a configuration with the routes `/read/` (safe) and `/buy/` (unsafe) to the
/// service `shop`, with the limits that our pages show.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{kind}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":3000,\"priority\":1,\
             \"service\":\"shop\",\"maxAttempts\":2}}"
        )
    };
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{{\"name\":\"shop\",\"healthPath\":\"/health\"}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{},{}]}}]}}",
        route("/read/", "safe"),
        route("/buy/", "unsafe")
    )
}

// ---------------------------------------------------------------- network paths

const PASS: u8 = 0;
const SILENT: u8 = 1;

/// Path of one machine to the store. A cut path carries no byte and resets nothing.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    carried_bytes: Arc<AtomicUsize>,
    mode: Arc<AtomicU8>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let (listener, address) = listen();
        let link = Self { address, carried_bytes: Arc::default(), mode: Arc::new(AtomicU8::new(PASS)) };
        let serving = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = serving.clone();
                thread::spawn(move || link.carry(stream, target));
            }
        });
        link
    }

    /// Returns the number of bytes that the link has carried in both directions.
    pub fn carried(&self) -> u64 {
        self.carried_bytes.load(Ordering::SeqCst) as u64
    }

    pub fn cut(&self) {
        self.mode.store(SILENT, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.mode.store(PASS, Ordering::SeqCst);
    }

    fn wait_until_passing(&self) {
        while self.mode.load(Ordering::SeqCst) == SILENT {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn carry(&self, near: TcpStream, target: SocketAddr) {
        self.wait_until_passing();
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        thread::spawn(move || link.pump(near_2, far_2));
        self.pump(far, near);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16_384];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_until_passing();
            self.carried_bytes.fetch_add(count, Ordering::SeqCst);
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- servers

/// What a server does with a request: it writes its answer. Returns whether the connection
/// is kept.
pub type Answer = Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// Stand-in of a backend server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    pub record: Record,
    /// Arrivals: time in milliseconds, request id, path.
    pub arrivals: Arc<Mutex<Vec<(u64, String, String)>>>,
    /// Ids of the requests that were run to their end.
    pub finished: Arc<Mutex<Vec<String>>>,
    answer: Answer,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    has_exited: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
}

impl Server {
    pub fn start(record: &Record, id: &str, answer: Answer) -> Self {
        let (listener, address) = listen();
        let server = Self {
            address,
            id: id.to_owned(),
            record: record.clone(),
            arrivals: Arc::default(),
            finished: Arc::default(),
            answer,
            connections: Arc::default(),
            has_exited: Arc::default(),
            is_leaving: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                if let Ok(copy) = stream.try_clone() {
                    server.connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Ends the server: its port is closed, and its connections break off.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the listening thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    /// Lets the server state in all its answers from now on that it leaves.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Header line that a leaving server has in all its answers; empty for another one.
    fn leaving_line(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
    }

    pub fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    /// Returns the entry of the server in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"shop\",\"address\":\"{}\",\"zone\":\"a-1\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\
             \"born\":1783040873100}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(request)) = reader.read_request() {
            let id = request.header("foxtailwinch-request-id").unwrap_or("").to_owned();
            let path = request.word(1).to_owned();
            if path == "/health" {
                let head = format!(
                    "HTTP/1.1 {}\r\nFoxtailwinch-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    if self.leaving_line().is_empty() { "200 OK" } else { "503 Leaving" },
                    self.id,
                    self.leaving_line()
                );
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at_ms = self.record.now_ms();
            self.arrivals.lock().unwrap().push((at_ms, id.clone(), path.clone()));
            self.record.note_at(at_ms, format!("request {id} {path} reaches server {}", self.id));
            if request.header("foxtailwinch-expect-instance") != Some(self.id.as_str()) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nFoxtailwinch-Request-Id: {id}\r\n\
                     Foxtailwinch-Not-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                    self.leaving_line()
                );
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !(self.answer)(self, &request, &mut reader.stream) {
                self.forget(&reader.stream);
                return;
            }
        }
    }

    /// Drops the server's other handle of a connection, so that the connection is closed.
    fn forget(&self, stream: &TcpStream) {
        let peer = stream.peer_addr().ok();
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|connection| connection.peer_addr().ok() != peer);
    }

    pub fn note_finished(&self, id: &str) {
        self.finished.lock().unwrap().push(id.to_owned());
        self.record.note(format!("server {} has run {id}", self.id));
    }
}

/// Returns the head of a server's success, with further header lines.
pub fn success_head(server: &Server, id: &str, lines: &str) -> String {
    let leaving = server.leaving_line();
    format!(
        "HTTP/1.1 200 OK\r\nFoxtailwinch-Request-Id: {id}\r\n\
         Foxtailwinch-Server-Signature: sig-{}-{id}\r\n{leaving}{lines}\r\n\r\n",
        server.id
    )
}

/// Answer of a sound server: runs for some time, from half to one and a half times the mean,
/// and sends its body.
pub fn sound(mean_ms: u64) -> Answer {
    sound_with(move |id| {
        let mixed = id.bytes().fold(7_u64, |mixed, byte| mixed.wrapping_mul(31) ^ u64::from(byte));
        mean_ms / 2 + mixed % mean_ms.max(1)
    })
}

/// Answer of a sound server whose run times follow from the ids of requests.
pub fn sound_with(run_ms: impl Fn(&str) -> u64 + Send + Sync + 'static) -> Answer {
    Arc::new(move |server, request, stream| {
        let id = request.header("foxtailwinch-request-id").unwrap_or("");
        thread::sleep(Duration::from_millis(run_ms(id)));
        if server.has_exited() {
            return false;
        }
        server.note_finished(id);
        let body = format!("{} ran {id}", server.id);
        let head = success_head(server, id, &format!("Content-Length: {}", body.len()));
        stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
    })
}

// ---------------------------------------------------------------- machines

/// Machine of the system: one process, started as the deploy file says.
pub struct Vm {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub ip: IpAddr,
    pub name: String,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Folder of this run for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("foxtailwinch-review-{}", std::process::id()));
    let _ = fs::create_dir_all(&folder);
    folder
}

impl Vm {
    pub fn start(name: &str, ip: IpAddr, store: SocketAddr, seeds: &[IpAddr]) -> io::Result<Self> {
        let folder = temporary_folder();
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8544\"")).collect();
        let text = format!(
            r#"nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = "{ip}"
zone = "a-1"
region = "a"
internalPorts = [7540, 7555]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[zones]
a-1 = "a"
[listen]
front = "{ip}:8548"
ready = "{ip}:8542"
control = "{ip}:8544"
directory = "{ip}:8546"
[limits]
cpuShare = 0.2
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
"#,
            seeds = seeds.join(", ")
        );
        fs::write(&settings, text)?;
        let process = spawn(&settings, &log)?;
        Ok(Self {
            front: SocketAddr::new(ip, 8548),
            ready: SocketAddr::new(ip, 8542),
            directory: SocketAddr::new(ip, 8546),
            ip,
            name: name.to_owned(),
            process,
            settings,
            log,
        })
    }

    pub fn restart(&mut self) -> io::Result<()> {
        STARTED.lock().unwrap().retain(|process| *process != self.process.id());
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.process = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe {
            kill(self.process.id() as i32, signal);
        }
    }

    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = connect(self.ready) else { return false };
        let head = format!("GET /readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let response = MessageReader::new(stream).read_response();
        matches!(response, Ok(Some(response)) if response.status() == 200)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.process.id());
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_file(&self.log);
            let _ = fs::remove_dir(temporary_folder());
        }
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .args(PROGRAM_ARGUMENTS)
        .env("FOXTAILWINCH_CONFIG", settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .inspect(|child| STARTED.lock().unwrap().push(child.id()))
}

/// Waits until a condition holds. Returns whether it does within 15 seconds.
pub fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let end_at = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end_at {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(30));
    }
    false
}

/// Returns the folder of the case, the first argument of the program.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()))
}
