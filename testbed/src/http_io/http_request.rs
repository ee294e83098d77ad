//! Helpers to read headers and bodies.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use volo_http::body;

/// Returns the value of a header, or `None` if the header is missing or not
/// text.
#[must_use]
pub fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a header as an unsigned integer, or `None` if the header
/// is missing or not a number.
#[must_use]
pub fn header_u64(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.trim().parse().ok()
}

/// Reads a complete body. Returns `None` if the body is truncated or longer
/// than `limit_bytes`.
pub async fn read_body(content: body::Body, limit_bytes: usize) -> Option<Bytes> {
    let limited = http_body_util::Limited::new(content, limit_bytes);
    Some(limited.collect().await.ok()?.to_bytes())
}
