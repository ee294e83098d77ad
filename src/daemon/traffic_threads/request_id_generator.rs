//! Ids of requests whose callers sent none.

use std::sync::atomic;

use crate::context;

/// Generates request ids. They contain the process's random seed, so that ids
/// of different entry VMs are very unlikely to collide.
pub struct RequestIdGenerator {
    next: atomic::AtomicU64,
    process_seed: u64,
}

impl RequestIdGenerator {
    /// Creates a generator that uses the process's seed.
    #[must_use]
    pub const fn new(context: &context::Context) -> Self {
        Self {
            next: atomic::AtomicU64::new(0),
            process_seed: context.seed,
        }
    }

    /// Returns a new id.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        format!("fw-{:016x}-{number}", self.process_seed)
    }
}
