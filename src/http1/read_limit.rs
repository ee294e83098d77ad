//! Limit on what is read of a response between two parts that are of use.

use std::sync::atomic;

/// Number of bytes that may be read of a response until its head, or the next part of its
/// body, is complete.
///
/// The HTTP library limits each head, but accepts any number of interim responses before it,
/// and any number of zeros before the size of a chunk.
#[derive(Debug)]
pub struct ReadLimit {
    awaits_head: atomic::AtomicBool,
    left_bytes: atomic::AtomicUsize,
}

/// Largest number of bytes between two parts of a response. The HTTP library reads up to 64 KiB
/// ahead of the part that is being used, and a head may have the same size.
const MAX_BYTES: usize = 160 << 10;

impl Default for ReadLimit {
    fn default() -> Self {
        Self {
            awaits_head: atomic::AtomicBool::new(false),
            left_bytes: atomic::AtomicUsize::new(MAX_BYTES),
        }
    }
}

impl ReadLimit {
    /// Records that a request is sent: a head is awaited.
    pub fn begin_response(&self) {
        self.renew();
        self.awaits_head.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub fn end_head(&self) {
        self.renew();
        self.awaits_head.store(false, atomic::Ordering::Relaxed);
    }

    /// Records that a part of the body has arrived.
    pub fn renew(&self) {
        self.left_bytes.store(MAX_BYTES, atomic::Ordering::Relaxed);
    }

    /// Returns whether the head of a response is awaited.
    #[must_use]
    pub fn awaits_head(&self) -> bool {
        self.awaits_head.load(atomic::Ordering::Relaxed)
    }

    /// Records that bytes were read.
    pub fn record_read(&self, bytes: usize) {
        let left_bytes = self.left_bytes.load(atomic::Ordering::Relaxed);
        let left_bytes = left_bytes.saturating_sub(bytes);
        self.left_bytes.store(left_bytes, atomic::Ordering::Relaxed);
    }

    /// Returns whether nothing more may be read.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.left_bytes.load(atomic::Ordering::Relaxed) == 0
    }
}
