//! Reading parts of a request.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use volo_http::body;

/// Gives the value of a header, or `None` if it is missing or not text.
#[must_use]
pub fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Gives the value of a header that holds a whole number.
#[must_use]
pub fn header_u64(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.trim().parse().ok()
}

/// Reads a body whole. Gives nothing if it breaks off or holds more than
/// `limit_bytes`.
pub async fn read_body(content: body::Body, limit_bytes: usize) -> Option<Bytes> {
    let limited = http_body_util::Limited::new(content, limit_bytes);
    Some(limited.collect().await.ok()?.to_bytes())
}
