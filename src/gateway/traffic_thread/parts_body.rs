//! Body that is completely in memory, in parts.

use std::collections;
use std::io;
use std::pin;
use std::task;

/// Body that is completely in memory, in parts. Each part is freed as soon as the
/// connection has written it.
pub struct PartsBody {
    parts: collections::VecDeque<bytes::Bytes>,
}

impl PartsBody {
    /// Creates the body that consists of these parts.
    #[must_use]
    pub fn new(parts: Vec<bytes::Bytes>) -> Self {
        Self {
            parts: parts.into(),
        }
    }
}

impl http_body::Body for PartsBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, io::Error>>> {
        let part = self.parts.pop_front();
        task::Poll::Ready(part.map(|part| Ok(http_body::Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let sizes = self.parts.iter().map(|part| part.len() as u64);
        http_body::SizeHint::with_exact(sizes.sum())
    }
}
