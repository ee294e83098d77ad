//! Response of a server that is passed on while it arrives.

use std::io;
use std::sync;
use std::time;

use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::response;
use crate::http1;

/// Longest pause within the body.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Response of a server that is passed on while it arrives. Its connection stays open
/// as long as the body is in use, and is not used again.
///
/// The body ends with an error, so that the caller does not take it for complete, if
/// the server breaks it off, pauses for too long, or does not end it before the
/// caller's deadline.
pub struct ResponseStream {
    /// Server that sends the response; `None` if another entry VM passes it on.
    pub choice: Option<gateway::Choice>,
    /// Connection on which the response arrives.
    pub connection: http1::ClientConnection,
    /// Time until which the caller waits for the end of the body.
    pub deadline: tokio::time::Instant,
    /// Part of the body that was read before the response was passed on.
    pub first: Option<bytes::Bytes>,
    /// Part of the body that has not been read yet.
    pub rest: hyper::body::Incoming,
    /// State of the gateway.
    pub shared: sync::Arc<gateway::Shared>,
}

impl ResponseStream {
    /// Returns the body for the caller.
    pub fn into_body(self) -> response::ResponseBody {
        let frames = futures::stream::unfold(Some(self), |stream| async move {
            let mut stream = stream?;
            match stream.next_frame().await? {
                Ok(frame) => Some((Ok(frame), Some(stream))),
                // Dropping the stream closes the connection to the server.
                Err(error) => Some((Err(error), None)),
            }
        });
        http_body_util::StreamBody::new(frames).boxed_unsync()
    }

    async fn next_frame(&mut self) -> Option<Result<http_body::Frame<bytes::Bytes>, io::Error>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(http_body::Frame::data(first)));
        }
        let stalled_at = tokio::time::Instant::now() + STALL_TIMEOUT;
        let frame = tokio::time::timeout_at(stalled_at.min(self.deadline), self.rest.frame()).await;
        let error = match frame {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) if tokio::time::Instant::now() < self.deadline => {
                return Some(Ok(frame));
            }
            Ok(Some(Ok(_))) => io::Error::other("response body does not end before the deadline"),
            Ok(Some(Err(error))) => io::Error::other(error),
            Err(_) => io::Error::other("response body stalled"),
        };
        if let Some(choice) = &self.choice {
            let failure = gateway::Evidence::Failure;
            self.shared.record_evidence(choice, failure);
        }
        self.shared.metrics.counters.add("response.broken-off");
        let decision_log = &self.shared.decision_log;
        decision_log.record("response.broken-off", || {
            let is_open = self.connection.is_open();
            let choice = self.choice.as_ref();
            let server = choice.map_or("relayed", |choice| choice.backend.id.as_str());
            format!("server={server} connection_open={is_open} error=\"{error}\"")
        });
        Some(Err(error))
    }
}
