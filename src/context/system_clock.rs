//! The operating system's clock.

use std::time;

use crate::context;

/// Clock that reads the monotonic clock and the wall clock of the operating
/// system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started: time::Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at 0 now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl context::Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn unix_ms(&self) -> u64 {
        time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .map_or(0, |elapsed| {
                u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
            })
    }
}
