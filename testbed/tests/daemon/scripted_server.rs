//! A server that answers raw HTTP by a script.

use std::collections;
use std::net;
use std::sync;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::loopback;
use super::step;

/// A server that answers raw HTTP by a script. Clones share script and log.
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
    /// Gives a server that takes `steps` in turn, the last one for ever.
    pub fn new(steps: &[step::Step]) -> Self {
        Self {
            shared: sync::Arc::new(sync::Mutex::new(Shared {
                connection_count: 0,
                log: Vec::new(),
                steps: steps.iter().cloned().collect(),
            })),
        }
    }

    /// Listens on a free port; more than one port may be opened.
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

    /// Gives what has been seen, one line each.
    pub fn log(&self) -> String {
        self.lock().log.join("\n")
    }

    /// Gives the number of requests that have come.
    pub fn request_count(&self) -> usize {
        let shared = self.lock();
        let runs = shared.log.iter().filter(|line| line.contains(" run "));
        runs.count()
    }

    /// Gives whether `line` has been seen.
    pub fn has_logged(&self, line: &str) -> bool {
        self.lock().log.iter().any(|seen| seen == line)
    }

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        let connection = {
            let mut shared = self.lock();
            shared.connection_count += 1;
            shared.connection_count
        };
        let note = |what: &str| self.lock().log.push(format!("{connection} {what}"));
        let mut buffer = Vec::new();
        while let Some(head) = read_until(&mut stream, &mut buffer, b"\r\n\r\n").await {
            let line = head.lines().next().unwrap_or_default();
            note(&format!("run {}", line.trim_end_matches(" HTTP/1.1")));
            if !read_body(&mut stream, &mut buffer, &head).await {
                note("body broke off");
                return;
            }
            let step = self.next_step();
            let id = header(&head, "x-request-id").unwrap_or_default();
            let text = step.text.replace("{id}", id);
            if stream.write_all(text.as_bytes()).await.is_err() {
                note("answer broke off");
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
        note("closed");
    }

    fn next_step(&self) -> step::Step {
        let mut shared = self.lock();
        let step = shared.steps.pop_front().expect("a script");
        if shared.steps.is_empty() {
            shared.steps.push_back(step.clone());
        }
        step
    }

    fn lock(&self) -> sync::MutexGuard<'_, Shared> {
        self.shared.lock().expect("no panic")
    }
}

/// Gives a header's value from a head in text form.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Takes everything up to `end` out of the stream; nothing if it ends first.
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

/// Reads the body away; gives whether it was is_complete.
async fn read_body(stream: &mut tokio::net::TcpStream, buffer: &mut Vec<u8>, head: &str) -> bool {
    if header(head, "transfer-encoding").is_some() {
        return read_until(stream, buffer, b"0\r\n\r\n").await.is_some();
    }
    let length = header(head, "content-length").map_or(0, |text| text.parse().expect("a length"));
    while buffer.len() < length {
        let read = stream.read_buf(buffer).await;
        if !read.is_ok_and(|read| read > 0) {
            return false;
        }
    }
    buffer.drain(..length);
    true
}
