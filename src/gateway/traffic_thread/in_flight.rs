//! Guards that track a request in flight until they are dropped.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::routed_request;

/// Counts a request as in flight on this VM until the guard is dropped: until its response
/// has been written.
pub struct InFlightGuard {
    shared: sync::Arc<gateway::Shared>,
}

impl InFlightGuard {
    /// Counts one more request as in flight.
    pub fn begin(shared: &sync::Arc<gateway::Shared>) -> Self {
        shared.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .in_flight
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Ends the count of a request as in flight at a backend server when the guard
/// is dropped.
pub struct ServerInFlightGuard {
    incarnation: u64,
    shared: sync::Arc<gateway::Shared>,
}

impl ServerInFlightGuard {
    /// Creates the guard for a request that was counted when its server was
    /// chosen.
    pub fn begin(shared: &sync::Arc<gateway::Shared>, incarnation: u64) -> Self {
        Self {
            incarnation,
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for ServerInFlightGuard {
    fn drop(&mut self) {
        self.shared
            .backend_pool()
            .record_request_end(self.incarnation);
    }
}

/// Records the outcome of a request for its service.
///
/// If the guard is dropped without an outcome, the caller has disconnected or
/// was cut off, and the request counts as not served.
pub struct ServiceOutcomeGuard {
    started_at: time::Instant,
    is_outcome_recorded: bool,
    organisation_fields: String,
    request_id: String,
    service: String,
    shared: sync::Arc<gateway::Shared>,
}

impl ServiceOutcomeGuard {
    /// Creates the guard of a request that has just been routed.
    pub fn begin(
        shared: &sync::Arc<gateway::Shared>,
        routed: &routed_request::RoutedRequest<'_>,
    ) -> Self {
        let now_ms = shared.now_ms();
        shared.update_backend_pool(|pool| pool.record_begin(now_ms, routed.service));
        Self {
            started_at: time::Instant::now(),
            is_outcome_recorded: false,
            organisation_fields: routed.organisation_fields(),
            request_id: routed.request_id.to_owned(),
            service: routed.service.to_owned(),
            shared: sync::Arc::clone(shared),
        }
    }

    /// Records whether the caller was served. A request that failed after it was
    /// used as a probe is not recorded, because it does not show how the service's
    /// other requests perform.
    pub fn record_outcome(mut self, is_served: bool, was_probe: bool) {
        self.is_outcome_recorded = true;
        if !is_served && !was_probe {
            let now_ms = self.shared.now_ms();
            self.shared
                .update_backend_pool(|pool| pool.record_unserved(now_ms, &self.service));
        }
    }
}

impl Drop for ServiceOutcomeGuard {
    fn drop(&mut self) {
        if self.is_outcome_recorded {
            return;
        }
        let now_ms = self.shared.now_ms();
        self.shared
            .update_backend_pool(|pool| pool.record_unserved(now_ms, &self.service));
        self.shared.metrics.counters.add("request.caller-left");
        self.shared.decision_log.record("request.caller-left", || {
            format!(
                "id={}{} service={} held_ms={}",
                self.request_id,
                self.organisation_fields,
                self.service,
                self.started_at.elapsed().as_millis()
            )
        });
    }
}
