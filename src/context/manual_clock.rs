//! Clock that tests advance manually.

use std::sync::atomic;

use crate::context;

/// Clock that advances only when [`ManualClock::advance`] is called.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: atomic::AtomicU64,
}

impl ManualClock {
    /// Advances the clock by `step_ms` milliseconds.
    pub fn advance(&self, step_ms: u64) {
        self.now_ms.fetch_add(step_ms, atomic::Ordering::SeqCst);
    }
}

impl context::Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(atomic::Ordering::SeqCst)
    }

    fn unix_ms(&self) -> u64 {
        self.now_ms()
    }
}
