//! Response of a server that is passed on while it arrives.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;

use http_body_util::BodyExt as _;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::traffic_thread::held_memory;
use crate::gateway::traffic_thread::response;
use crate::http1;

/// Memory that a frame takes up beside its bytes while it waits for the caller's connection.
const FRAME_OVERHEAD_BYTES: u64 = 256;

/// Response of a server that is passed on while it arrives. Its connection stays open
/// as long as the body is in use, and is not used again.
///
/// The body ends with an error, so that the caller does not take it for complete, if
/// the server breaks it off or does not end it before the caller's deadline. A pause of the
/// server is no reason to end it sooner.
pub struct ResponseStream {
    /// Server that sends the response; `None` if another entry VM passes it on.
    pub choice: Option<gateway::Choice>,
    /// Connection on which the response arrives.
    pub connection: http1::ClientConnection,
    /// Time until which the caller waits for the end of the body.
    pub deadline: tokio::time::Instant,
    /// Parts of the body that were read before the response was passed on.
    pub first: collections::VecDeque<bytes::Bytes>,
    /// Memory of the request.
    pub memory: sync::Arc<held_memory::RequestMemory>,
    /// Part of the body that has not been read yet.
    pub rest: http1::ResponseBody,
    /// State of the gateway.
    pub shared: sync::Arc<gateway::Shared>,
}

/// Frames that were read ahead and wait for the caller's connection.
#[derive(Default)]
struct ReadAhead {
    taken: Notify,
    waiting_count: atomic::AtomicUsize,
}

impl ResponseStream {
    /// Returns the body for the caller.
    ///
    /// The response is read ahead as long as there is room: servers cut off responses that
    /// are not read for some seconds.
    pub fn into_body(self) -> response::ResponseBody {
        let (sender, receiver) = mpsc::unbounded_channel();
        let read_ahead = sync::Arc::new(ReadAhead::default());
        tokio::spawn(self.read_ahead(sync::Arc::clone(&read_ahead), sender));
        let state = (receiver, read_ahead);
        let frames = futures::stream::unfold(state, |(mut receiver, read_ahead)| async move {
            let frame = receiver.recv().await?;
            read_ahead
                .waiting_count
                .fetch_sub(1, atomic::Ordering::Relaxed);
            read_ahead.taken.notify_one();
            Some((frame, (receiver, read_ahead)))
        });
        http_body_util::StreamBody::new(frames).boxed_unsync()
    }

    /// Reads frames until the body ends or the caller's connection is closed. Without
    /// room for a frame, waits until the connection has taken all frames before it.
    async fn read_ahead(
        mut self,
        read_ahead: sync::Arc<ReadAhead>,
        sender: mpsc::UnboundedSender<Result<http_body::Frame<bytes::Bytes>, io::Error>>,
    ) {
        let memory = sync::Arc::clone(&self.memory);
        let counts_bytes = self.choice.is_some() && self.shared.has_downloads();
        loop {
            let is_held = !self.first.is_empty();
            let frame = tokio::select! {
                frame = self.next_frame() => frame,
                () = sender.closed() => return,
            };
            let frame = match frame {
                None => return,
                Some(Ok(frame)) if is_held => Ok(frame),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let held_bytes = data.len() as u64 + FRAME_OVERHEAD_BYTES;
                    if memory.try_take(held_bytes) {
                        if counts_bytes {
                            self.shared.record_server_response();
                        }
                    } else {
                        tokio::select! {
                            () = read_ahead.wait_until_taken() => {}
                            () = tokio::time::sleep_until(self.deadline) => {}
                            () = sender.closed() => return,
                        }
                        memory.take(held_bytes);
                    }
                    Ok(http_body::Frame::data(memory.attach(data, held_bytes)))
                }
                Some(Err(error)) => Err(error),
            };
            let is_broken_off = frame.is_err();
            read_ahead
                .waiting_count
                .fetch_add(1, atomic::Ordering::Relaxed);
            if sender.send(frame).is_err() || is_broken_off {
                return;
            }
        }
    }

    async fn next_frame(&mut self) -> Option<Result<http_body::Frame<bytes::Bytes>, io::Error>> {
        if let Some(first) = self.first.pop_front() {
            return Some(Ok(http_body::Frame::data(first)));
        }
        let frame = tokio::time::timeout_at(self.deadline, self.rest.frame()).await;
        let error = match frame {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) if tokio::time::Instant::now() < self.deadline => {
                return Some(Ok(frame));
            }
            Ok(Some(Err(error))) => io::Error::other(error),
            Ok(Some(Ok(_))) | Err(_) => {
                io::Error::other("response body does not end before the deadline")
            }
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

impl ReadAhead {
    async fn wait_until_taken(&self) {
        while self.waiting_count.load(atomic::Ordering::Relaxed) > 0 {
            self.taken.notified().await;
        }
    }
}
