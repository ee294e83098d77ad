//! Ids for requests whose callers sent none.

use std::sync::atomic;

use crate::context;

/// Makes ids that are unique over all entry VMs, all but certainly.
pub struct RequestIdGenerator {
    next: atomic::AtomicU64,
    process_seed: u64,
}

impl RequestIdGenerator {
    /// Gives ids that carry the process's seed.
    #[must_use]
    pub const fn new(context: &context::Context) -> Self {
        Self {
            next: atomic::AtomicU64::new(0),
            process_seed: context.seed,
        }
    }

    /// Gives the next id.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        format!("fw-{:016x}-{number}", self.process_seed)
    }
}
