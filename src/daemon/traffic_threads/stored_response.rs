//! Conversion between HTTP responses and the responses stored with keys.

use http_body_util::BodyExt as _;
use volo_http::body;
use volo_http::response;

use crate::claims;
use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::reply;

/// Response to a keyed request.
pub enum KeyedResponse {
    /// Buffered completely, to be stored with its key.
    Stored(claims::StoredResponse),
    /// Too large to be stored; streamed to the caller.
    Streaming(response::Response),
}

/// Buffers a response of at most `limit_bytes`. A longer one is streamed,
/// beginning with the part that has already been read.
///
/// Returns `None` if the response was truncated.
pub async fn buffer_response(
    response: response::Response,
    request_fingerprint: u64,
    limit_bytes: usize,
) -> Option<KeyedResponse> {
    let (head, mut body) = response.into_parts();
    let mut read = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > limit_bytes {
            let body = prepend(read.freeze(), body);
            let response = response::Response::from_parts(head, body);
            return Some(KeyedResponse::Streaming(response));
        }
    }
    Some(KeyedResponse::Stored(claims::StoredResponse {
        body: read.freeze(),
        headers: stored_headers(&head.headers),
        request_fingerprint,
        status: head.status.as_u16(),
    }))
}

/// Returns a body that consists of `prefix` followed by `remaining`.
fn prepend(prefix: bytes::Bytes, remaining: body::Body) -> body::Body {
    let prefix = http_body::Frame::data(prefix);
    let prefix = futures::stream::once(futures::future::ready(Ok(prefix)));
    let remaining = http_body_util::BodyStream::new(remaining);
    body::Body::from_stream(futures::StreamExt::chain(prefix, remaining))
}

/// Returns the stored response with the id of the current request.
#[must_use]
pub fn from_stored(stored: claims::StoredResponse, request_id: &str) -> response::Response {
    let mut response = response::Response::new(body::Body::from(stored.body));
    *response.status_mut() =
        http::StatusCode::from_u16(stored.status).unwrap_or(http::StatusCode::OK);
    for header in stored.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    reply::set_header(response.headers_mut(), header_names::REQUEST_ID, request_id);
    response
}

fn stored_headers(headers: &http::HeaderMap) -> Vec<claims::StoredHeader> {
    headers
        .iter()
        .map(|(name, value)| claims::StoredHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
