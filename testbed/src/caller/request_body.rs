//! Request body generated in chunks.

use bytes::Bytes;
use rand::{RngCore as _, SeedableRng as _};
use sha2::Digest as _;
use volo_http::body;

use crate::http_io;

/// Length of a chunk, in bytes.
const CHUNK_BYTES: u64 = 65_536;

/// Request body generated in chunks from a seed, so that a large body is never
/// held in memory as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestBody {
    seed: u64,
    sha256: String,
    size_bytes: u64,
}

struct Chunks {
    random: rand::rngs::SmallRng,
    remaining_bytes: u64,
}

impl RequestBody {
    /// Creates a body of `size_bytes` bytes whose content depends on `seed`.
    #[must_use]
    pub fn new(seed: u64, size_bytes: u64) -> Self {
        let mut hasher = sha2::Sha256::new();
        for chunk in Chunks::new(seed, size_bytes) {
            hasher.update(&chunk);
        }
        Self {
            seed,
            sha256: http_io::hex(&hasher.finalize()),
            size_bytes,
        }
    }

    /// Returns the body as a stream.
    #[must_use]
    pub fn content(&self) -> body::Body {
        let mut chunks = Chunks::new(self.seed, self.size_bytes);
        if self.size_bytes <= CHUNK_BYTES {
            return body::Body::from(chunks.next().unwrap_or_default());
        }
        let frames = chunks.map(|chunk| Ok(http_body::Frame::data(chunk)));
        body::Body::from_stream(futures::stream::iter(frames))
    }

    /// Returns the SHA-256 of the body, in hexadecimal digits.
    #[must_use]
    pub fn sha256(&self) -> &str {
        &self.sha256
    }

    /// Returns the length of the body, in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> u64 {
        self.size_bytes
    }
}

impl Chunks {
    fn new(seed: u64, size_bytes: u64) -> Self {
        Self {
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            remaining_bytes: size_bytes,
        }
    }
}

impl Iterator for Chunks {
    type Item = Bytes;

    fn next(&mut self) -> Option<Self::Item> {
        let size_bytes = self.remaining_bytes.min(CHUNK_BYTES);
        if size_bytes == 0 {
            return None;
        }
        self.remaining_bytes -= size_bytes;
        let mut chunk = vec![0; usize::try_from(size_bytes).unwrap_or_default()];
        self.random.fill_bytes(&mut chunk);
        Some(Bytes::from(chunk))
    }
}
