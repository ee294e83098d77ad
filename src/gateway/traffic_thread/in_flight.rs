//! Counts of what is in flight, ended by dropping them.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::work;

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

/// Follows a request for a service to what its caller got. Dropped without an
/// outcome, its caller has left or was cut off.
pub struct ServiceUse {
    began: time::Instant,
    has_ended: bool,
    request_id: String,
    service: String,
    shared: sync::Arc<gateway::Shared>,
}

impl ServiceUse {
    /// Begins to follow a request.
    pub fn begin(shared: &sync::Arc<gateway::Shared>, work: &work::Work<'_>) -> Self {
        Self {
            began: time::Instant::now(),
            has_ended: false,
            request_id: work.request_id.to_owned(),
            service: work.service.to_owned(),
            shared: sync::Arc::clone(shared),
        }
    }

    /// Notes what the caller gets. What became of a probe says nothing of how
    /// the service's requests fare.
    pub fn end(mut self, is_served: bool, was_probe: bool) {
        self.has_ended = true;
        if is_served || !was_probe {
            let now_ms = self.shared.now_ms();
            self.shared
                .update_board(|board| board.note_outcome(now_ms, &self.service, is_served));
        }
    }
}

impl Drop for ServiceUse {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let now_ms = self.shared.now_ms();
        self.shared
            .update_board(|board| board.note_outcome(now_ms, &self.service, false));
        self.shared.metrics.counters.add("request.caller-left");
        self.shared.decision_log.record("request.caller-left", || {
            format!(
                "id={} service={} held_ms={}",
                self.request_id,
                self.service,
                self.began.elapsed().as_millis()
            )
        });
    }
}
