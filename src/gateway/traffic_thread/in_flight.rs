//! Counts of what is in flight, ended by dropping them.

use std::sync;
use std::sync::atomic;

use crate::gateway;

/// Counts a request as in flight until it is dropped.
pub struct InFlight {
    shared: sync::Arc<gateway::Shared>,
}

impl InFlight {
    /// Begins to count.
    pub fn begin(shared: &sync::Arc<gateway::Shared>) -> Self {
        shared.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared
            .in_flight
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Counts a request as in flight at a server until it is dropped.
pub struct ServerUse {
    lifetime: u64,
    shared: sync::Arc<gateway::Shared>,
}

impl ServerUse {
    /// Begins to count.
    pub fn begin(shared: &sync::Arc<gateway::Shared>, lifetime: u64) -> Self {
        Self {
            lifetime,
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for ServerUse {
    fn drop(&mut self) {
        self.shared.board().note_end(self.lifetime);
    }
}
