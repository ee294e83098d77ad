//! A caller that reads raw responses.

use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::scripted_server;
use super::wait;

/// Bytes that were received until the connection was closed.
pub struct Response {
    /// The received part of the body.
    pub body: String,
    /// Status line and header lines.
    pub head: String,
    /// Whether the complete body was received.
    pub is_complete: bool,
}

impl Response {
    /// Returns the value of the header `name`, or an empty string if there is
    /// none.
    pub fn header(&self, name: &str) -> &str {
        scripted_server::header(&self.head, name).unwrap_or_default()
    }

    /// Returns the status, followed by the reason and verdict of a refusal or
    /// by the body of any other response.
    pub fn render(&self) -> String {
        let status = self.head.split(' ').nth(1).unwrap_or("no response");
        let reason = self.header("x-foxtailwinch-reason");
        if !reason.is_empty() {
            let verdict = self.header("x-foxtailwinch-verdict");
            return format!("{status} {reason} {verdict}");
        }
        if !self.is_complete {
            return format!("{status} truncated");
        }
        format!("{status} `{}`", self.body)
    }
}

/// Returns the text of a request with the request id `r1`.
pub fn request(line: &str, headers: &[&str], body: &str) -> String {
    let length = format!("content-length: {}", body.len());
    let headers = [&[length.as_str()], headers].concat();
    format!("{}{body}", head(line, &headers))
}

/// Returns the text of a request's head, with the request id `r1`.
pub fn head(line: &str, headers: &[&str]) -> String {
    let request_line = format!("{line} HTTP/1.1");
    let default_headers = [
        &request_line,
        "host: vm",
        "connection: close",
        "x-request-id: r1",
    ];
    let end = ["", ""];
    [default_headers.as_slice(), headers, &end]
        .concat()
        .join("\r\n")
}

/// Sends `text` and returns the open connection without reading a response.
pub async fn start_request(address: net::SocketAddr, text: &str) -> tokio::net::TcpStream {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("a connection");
    // The write may fail, because the daemon may refuse a request before it has
    // read all of it.
    let _ = stream.write_all(text.as_bytes()).await;
    stream
}

/// Sends `text` and reads the response until the connection is closed.
pub async fn send_raw(address: net::SocketAddr, text: &str) -> Response {
    let mut stream = start_request(address, text).await;
    let mut bytes = Vec::new();
    // A reset ends the response as well; the bytes before it are kept.
    let read = tokio::time::timeout(wait::TIMEOUT, async {
        while stream.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {}
    });
    read.await
        .expect("a connection that is closed within the timeout");
    parse(&String::from_utf8_lossy(&bytes))
}

/// Sends a request and reads its response.
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
