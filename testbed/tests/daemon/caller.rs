//! A caller that sees each byte of its answer.

use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::scripted_server;
use super::wait;

/// What came back until the connection was closed.
pub struct Response {
    /// The body, as far as it came.
    pub body: String,
    /// Status line and headers.
    pub head: String,
    /// Whether the is_complete body came.
    pub is_complete: bool,
}

impl Response {
    /// Gives a header's text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        scripted_server::header(&self.head, name).unwrap_or_default()
    }

    /// Gives the status, then reason and verdict of a refusal or the body of
    /// an answer.
    pub fn render(&self) -> String {
        let status = self.head.split(' ').nth(1).unwrap_or("no answer");
        let reason = self.header("x-foxtailwinch-reason");
        if !reason.is_empty() {
            let verdict = self.header("x-foxtailwinch-verdict");
            return format!("{status} {reason} {verdict}");
        }
        if !self.is_complete {
            return format!("{status} broke off");
        }
        format!("{status} `{}`", self.body)
    }
}

/// Gives a request in text form. The request's id is `r1`.
pub fn request(line: &str, headers: &[&str], body: &str) -> String {
    let length = format!("content-length: {}", body.len());
    let headers = [&[length.as_str()], headers].concat();
    format!("{}{body}", head(line, &headers))
}

/// Gives the head of a request in text form.
pub fn head(line: &str, headers: &[&str]) -> String {
    let request_line = format!("{line} HTTP/1.1");
    let own = [
        &request_line,
        "host: vm",
        "connection: close",
        "x-request-id: r1",
    ];
    let end = ["", ""];
    [own.as_slice(), headers, &end].concat().join("\r\n")
}

/// Sends `text` and leaves the connection open.
pub async fn start_request(address: net::SocketAddr, text: &str) -> tokio::net::TcpStream {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("a connection");
    // The daemon may refuse before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    stream
}

/// Sends `text` and reads until the connection is closed.
pub async fn send_raw(address: net::SocketAddr, text: &str) -> Response {
    let mut stream = start_request(address, text).await;
    let mut bytes = Vec::new();
    // A reset ends the reading too; what came before counts.
    let read = tokio::time::timeout(wait::TIMEOUT, async {
        while stream.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {}
    });
    read.await.expect("the connection is closed in the end");
    parse(&String::from_utf8_lossy(&bytes))
}

/// Sends a request and gives its response.
pub async fn send(address: net::SocketAddr, line: &str, headers: &[&str], body: &str) -> Response {
    send_raw(address, &request(line, headers, body)).await
}

fn parse(text: &str) -> Response {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let length: Option<usize> =
        scripted_server::header(head, "content-length").and_then(|text| text.parse().ok());
    let is_complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    Response {
        body: body.to_owned(),
        head: head.to_owned(),
        is_complete,
    }
}
