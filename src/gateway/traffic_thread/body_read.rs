//! Reads the body of a response before it is passed on.

use http_body::Body as _;
use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::held_memory;
use crate::gateway::traffic_thread::routed_request;
use crate::http1;

/// Size of the parts in which a body is held, in bytes. Memory is given back part by
/// part while a slow caller reads.
const PART_BYTES: usize = 16_384;

/// What was read of a body.
pub struct BodyRead {
    /// Whether the body has been read to its end.
    pub is_complete: bool,
    /// The bytes read.
    pub parts: Vec<bytes::Bytes>,
}

/// Whose response is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another entry VM passes a response on.
    EntryVm,
    /// A backend server responds.
    Server,
}

/// Reads a response's body until its end, until more than the limit for buffering is
/// received, or until this VM has no memory for more.
///
/// # Errors
///
/// Returns the error of the connection if the body breaks off.
pub async fn read(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    source: Source,
    status: http::StatusCode,
    body: &mut http1::ResponseBody,
) -> Result<BodyRead, hyper::Error> {
    let limit_bytes = shared.config.buffered_body_limit_bytes;
    let memory = &routed.memory;
    let counts_bytes = source == Source::Server && shared.has_downloads();
    let mut parts = PartsInMemory::new(memory);
    let mut has_room = true;
    let mut is_complete = false;
    while has_room && parts.length_bytes <= limit_bytes {
        let Some(frame) = body.frame().await else {
            is_complete = true;
            break;
        };
        if let Ok(data) = frame?.into_data() {
            if counts_bytes {
                shared.record_server_response();
            }
            let rest_bytes = body.size_hint().exact();
            has_room = parts.add(data, rest_bytes);
        }
    }
    // Responses that state an error say nothing of the usual size.
    if status.is_success() {
        let rest_bytes = body.size_hint().lower();
        let length_bytes = parts.length_bytes as u64 + rest_bytes;
        memory.record_response(routed.route, length_bytes.min(limit_bytes as u64));
    }
    Ok(BodyRead {
        is_complete,
        parts: parts.finish(),
    })
}

/// Parts of a body that are counted as held.
struct PartsInMemory<'a> {
    length_bytes: usize,
    memory: &'a std::sync::Arc<held_memory::RequestMemory>,
    parts: Vec<bytes::Bytes>,
    /// Part that is not full yet, and the number of bytes that it has memory for.
    unfinished: (bytes::BytesMut, usize),
}

impl<'a> PartsInMemory<'a> {
    fn new(memory: &'a std::sync::Arc<held_memory::RequestMemory>) -> Self {
        Self {
            length_bytes: 0,
            memory,
            parts: Vec::new(),
            unfinished: (bytes::BytesMut::new(), 0),
        }
    }

    /// Adds bytes, behind which `rest_bytes` follow if that is known. Returns whether
    /// there was room; the bytes are added in any case.
    fn add(&mut self, mut data: bytes::Bytes, rest_bytes: Option<u64>) -> bool {
        self.length_bytes += data.len();
        while !data.is_empty() {
            if self.unfinished.0.len() == self.unfinished.1 {
                self.finish_part();
                let rest_bytes = rest_bytes.map(|rest| usize::try_from(rest).unwrap_or(PART_BYTES));
                let size_bytes = rest_bytes.map_or(PART_BYTES, |rest| {
                    rest.saturating_add(data.len()).min(PART_BYTES)
                });
                if !self.memory.try_take(size_bytes as u64) {
                    let length_bytes = data.len() as u64;
                    self.memory.take(length_bytes);
                    self.parts.push(self.memory.attach(data, length_bytes));
                    return false;
                }
                self.unfinished = (bytes::BytesMut::with_capacity(size_bytes), size_bytes);
            }
            let (part, size_bytes) = &mut self.unfinished;
            let fitting_bytes = (*size_bytes - part.len()).min(data.len());
            part.extend_from_slice(&data.split_to(fitting_bytes));
        }
        true
    }

    fn finish_part(&mut self) {
        let (part, size_bytes) = std::mem::take(&mut self.unfinished);
        if size_bytes > 0 {
            let part = self.memory.attach(part.freeze(), size_bytes as u64);
            self.parts.push(part);
        }
    }

    fn finish(mut self) -> Vec<bytes::Bytes> {
        self.finish_part();
        self.parts
    }
}
