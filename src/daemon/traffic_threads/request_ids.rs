//! Ids for requests whose callers sent none.

use std::sync::atomic;

use crate::context;

/// Makes ids that are unique over all entry VMs, all but certainly.
pub struct RequestIds {
    next: atomic::AtomicU64,
    process: u64,
}

impl RequestIds {
    /// Gives ids that carry the process's seed.
    #[must_use]
    pub const fn new(context: &context::Context) -> Self {
        Self {
            next: atomic::AtomicU64::new(0),
            process: context.seed,
        }
    }

    /// Gives the next id.
    pub fn next(&self) -> String {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        format!("fw-{:016x}-{number}", self.process)
    }
}
