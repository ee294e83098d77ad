//! Responses of the stand-ins.

use bytes::Bytes;
use volo_http::{body, response};

/// Creates a response with `value` as its JSON body.
pub fn json<T>(status: http::StatusCode, value: &T) -> response::Response
where
    T: serde::Serialize + ?Sized,
{
    let content = serde_json::to_vec(value).unwrap_or_default();
    let mut response = with_body(status, body::Body::from(content));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a response with a plain text body.
#[must_use]
pub fn plain(status: http::StatusCode, message: &str) -> response::Response {
    with_body(status, body::Body::from(message.to_owned()))
}

/// Creates a response whose connection is aborted after `sent`, as if the
/// process had died. If `sent` is empty, no part of the response is sent.
#[must_use]
pub fn aborted(sent: Bytes) -> response::Response {
    let content_length = sent.len() + 1_024;
    let stream = futures::stream::unfold(AbortStep::Send(sent), next_frame);
    let mut response = with_body(http::StatusCode::OK, body::Body::from_stream(stream));
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, content_length.into());
    response
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

type FrameResult = Result<http_body::Frame<Bytes>, BoxError>;

enum AbortStep {
    Abort,
    Send(Bytes),
}

async fn next_frame(step: AbortStep) -> Option<(FrameResult, AbortStep)> {
    match step {
        AbortStep::Send(sent) if !sent.is_empty() => {
            Some((Ok(http_body::Frame::data(sent)), AbortStep::Abort))
        }
        AbortStep::Send(_) => Some((Err(abort_error()), AbortStep::Abort)),
        AbortStep::Abort => {
            // Lets the sent data leave before the connection is aborted.
            tokio::task::yield_now().await;
            Some((Err(abort_error()), AbortStep::Abort))
        }
    }
}

fn abort_error() -> BoxError {
    "the stand-in aborts this connection".into()
}

fn with_body(status: http::StatusCode, content: body::Body) -> response::Response {
    let mut response = response::Response::new(content);
    *response.status_mut() = status;
    response
}
