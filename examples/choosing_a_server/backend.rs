//! Simulated backend server.

use std::collections;

/// Simulated backend server that runs requests in its slots.
#[derive(Debug)]
pub struct Backend {
    /// Time of the last start or stop of the server's zone; `None` before the first.
    pub cold_since_ms: Option<u64>,
    /// Whether the server is reachable.
    pub is_up: bool,
    /// Indexes of the running requests.
    pub running: indexmap::IndexSet<usize>,
    /// Indexes of the queued requests. Servers queue only without overload
    /// protection.
    pub waiting: collections::VecDeque<usize>,
    /// Index of the server's availability zone.
    pub zone: usize,
}

impl Backend {
    /// Creates an idle server.
    pub fn new(zone: usize) -> Self {
        Self {
            cold_since_ms: None,
            is_up: true,
            running: indexmap::IndexSet::new(),
            waiting: collections::VecDeque::new(),
            zone,
        }
    }

    /// Returns the number of running and queued requests in permille of the slots.
    pub fn load_permille(&self, slot_count: u32) -> u32 {
        let requests = self.running.len() + self.waiting.len();
        u32::try_from(requests).unwrap_or(u32::MAX) * 1_000 / slot_count
    }
}
