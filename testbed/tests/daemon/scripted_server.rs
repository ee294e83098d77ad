//! A server that sends raw HTTP responses from a script.

use std::collections;
use std::net;
use std::sync;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::loopback;
use super::step;

/// A server that sends raw HTTP responses from a script. Clones share the
/// script and the log.
#[derive(Clone)]
pub struct ScriptedServer {
    shared: sync::Arc<sync::Mutex<Shared>>,
}

struct Shared {
    connection_count: u32,
    log: Vec<String>,
    steps: collections::VecDeque<step::Step>,
}

impl ScriptedServer {
    /// Creates a server that handles each request by the next of `steps` and
    /// repeats the last step for all further requests.
    pub fn new(steps: &[step::Step]) -> Self {
        Self {
            shared: sync::Arc::new(sync::Mutex::new(Shared {
                connection_count: 0,
                log: Vec::new(),
                steps: steps.iter().cloned().collect(),
            })),
        }
    }

    /// Listens on a free port and returns its address. Each call opens a
    /// further port.
    pub async fn listen(&self) -> net::SocketAddr {
        let listener = loopback::listen().await;
        let address = listener.local_addr().expect("an address");
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        address
    }

    /// Returns the log, one event a line. Each line begins with the
    /// connection's number.
    pub fn log(&self) -> String {
        self.lock().log.join("\n")
    }

    /// Returns the number of request heads that have been received.
    pub fn request_count(&self) -> usize {
        let shared = self.lock();
        let requests = shared.log.iter().filter(|line| line.contains(" request "));
        requests.count()
    }

    /// Returns whether the log contains `line`.
    pub fn has_logged(&self, line: &str) -> bool {
        self.lock().log.iter().any(|logged| logged == line)
    }

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        let connection = {
            let mut shared = self.lock();
            shared.connection_count += 1;
            shared.connection_count
        };
        let record = |event: &str| self.lock().log.push(format!("{connection} {event}"));
        let mut buffer = Vec::new();
        while let Some(head) = read_until(&mut stream, &mut buffer, b"\r\n\r\n").await {
            let line = head.lines().next().unwrap_or_default();
            record(&format!("request {}", line.trim_end_matches(" HTTP/1.1")));
            if !read_body(&mut stream, &mut buffer, &head).await {
                record("body truncated");
                return;
            }
            let step = self.next_step();
            let id = header(&head, "x-request-id").unwrap_or_default();
            let text = step.text.replace("{id}", id);
            if stream.write_all(text.as_bytes()).await.is_err() {
                record("response not written");
                return;
            }
            match step.next_action {
                step::NextAction::Close => return,
                step::NextAction::Hang => break,
                step::NextAction::Reset => {
                    stream.set_zero_linger().expect("an open socket");
                    return;
                }
                step::NextAction::Serve => {}
            }
        }
        while stream
            .read_buf(&mut buffer)
            .await
            .is_ok_and(|read| read > 0)
        {}
        record("closed");
    }

    fn next_step(&self) -> step::Step {
        let mut shared = self.lock();
        let step = shared.steps.pop_front().expect("a step");
        if shared.steps.is_empty() {
            shared.steps.push_back(step.clone());
        }
        step
    }

    fn lock(&self) -> sync::MutexGuard<'_, Shared> {
        self.shared.lock().expect("a lock that is not poisoned")
    }
}

/// Returns the value of the header `name` in `head`.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads up to and including `end`. Returns `None` if the stream ends before
/// it.
async fn read_until(
    stream: &mut tokio::net::TcpStream,
    buffer: &mut Vec<u8>,
    end: &[u8],
) -> Option<String> {
    loop {
        let found = buffer.windows(end.len()).position(|window| window == end);
        if let Some(position) = found {
            let taken: Vec<u8> = buffer.drain(..position + end.len()).collect();
            return Some(String::from_utf8_lossy(&taken).into_owned());
        }
        let read = stream.read_buf(buffer).await;
        if !read.is_ok_and(|read| read > 0) {
            return None;
        }
    }
}

/// Reads and discards the body of a request. Returns whether the body was
/// complete.
async fn read_body(stream: &mut tokio::net::TcpStream, buffer: &mut Vec<u8>, head: &str) -> bool {
    if header(head, "transfer-encoding").is_some() {
        return read_until(stream, buffer, b"0\r\n\r\n").await.is_some();
    }
    let length = header(head, "content-length").map_or(0, |text| text.parse().expect("a number"));
    while buffer.len() < length {
        let read = stream.read_buf(buffer).await;
        if !read.is_ok_and(|read| read > 0) {
            return false;
        }
    }
    buffer.drain(..length);
    true
}
