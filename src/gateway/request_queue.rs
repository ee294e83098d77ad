//! Queue of the requests to one service that wait at this VM for a free slot.

use crate::admission;
use crate::bundle;
use crate::configs;
use crate::state_machine::StateMachine as _;

/// Interval between checks for free slots while requests wait, in milliseconds. Slots also
/// become free by the passing of time, as that of a server's rest.
pub(super) const CHECK_INTERVAL_MS: u64 = 25;
/// Number of requests that may be sent at a time although all slots are believed to be
/// taken, until one of them has found a free slot.
///
/// One is enough to find out. If the belief is right, each waits at a server in order of
/// arrival, where neither priority nor organisation counts.
const OVERDUE_REQUESTS: u32 = 1;

/// Queue of the requests to one service that wait at this VM for a free slot.
///
/// The free slots are those of the servers, by the counts of the VM's
/// [`BackendPool`](crate::gateway::BackendPool). They are passed in with each event.
/// An admitted request has its slot until a server is chosen for it, and is then
/// counted by the pool.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    gate: admission::ServiceGate,
    /// Admitted requests for which no server has been chosen yet.
    unsent: indexmap::IndexSet<u64>,
}

impl RequestQueue {
    /// Creates an empty queue for up to `queue_limit_requests` requests.
    #[must_use]
    pub fn new(queue_limit_requests: u32, seed: u64) -> Self {
        let config = configs::admission::AdmissionConfig {
            // Each arrival states how much time it needs.
            least_time_left_percent: 0,
            ..configs::admission::AdmissionConfig::default()
        };
        let service = bundle::Service {
            queue_limit_requests,
            ..bundle::Service::default()
        };
        let mut gate = admission::ServiceGate::new(&config, &service, seed);
        let limit = admission::GateEvent::OverdueLimitChanged {
            overdue_requests: OVERDUE_REQUESTS,
        };
        gate.handle(0, limit);
        Self {
            gate,
            unsent: indexmap::IndexSet::new(),
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.gate.queued_requests()
    }

    /// Returns whether no request waits, runs or is about to be sent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.gate.queued_requests() + self.gate.in_flight_requests() == 0
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(
        &mut self,
        now_ms: u64,
        arrival: admission::Arrival,
        free_slots: u32,
    ) -> Vec<admission::GateAction> {
        let mut actions = self.update(now_ms, free_slots);
        let event = admission::GateEvent::ArriveWeighted(arrival);
        actions.extend(self.handle(now_ms, event));
        actions
    }

    /// Admits requests for which there are free slots, and refuses those that can no
    /// longer finish in time.
    pub fn update(&mut self, now_ms: u64, free_slots: u32) -> Vec<admission::GateAction> {
        let running = self.gate.in_flight_requests();
        self.set_capacity(now_ms, running, free_slots)
    }

    /// Records that a server has been chosen for an admitted request.
    pub fn record_choice(&mut self, request_id: u64) {
        self.unsent.swap_remove(&request_id);
    }

    /// Records that an admitted request has ended, or that the caller of a waiting
    /// request has left.
    ///
    /// The slot of an admitted request must be counted in `free_slots` again.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request_id: u64,
        is_served: bool,
        free_slots: u32,
    ) -> Vec<admission::GateAction> {
        self.unsent.swap_remove(&request_id);
        let mut actions = Vec::new();
        if self.gate.is_running(request_id) {
            // The gate must not give its slot to another request unless the slot is free.
            let running = self.gate.in_flight_requests() - 1;
            actions = self.set_capacity(now_ms, running, free_slots);
        }
        let event = if is_served {
            admission::GateEvent::Finish { request_id }
        } else {
            admission::GateEvent::Cancel { request_id }
        };
        actions.extend(self.handle(now_ms, event));
        actions.extend(self.update(now_ms, free_slots));
        actions
    }

    fn set_capacity(
        &mut self,
        now_ms: u64,
        running: usize,
        free_slots: u32,
    ) -> Vec<admission::GateAction> {
        let unsent = u32::try_from(self.unsent.len()).unwrap_or(u32::MAX);
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        let concurrent_requests = running.saturating_add(free_slots.saturating_sub(unsent));
        let capacity = admission::GateEvent::CapacityChanged {
            concurrent_requests,
        };
        self.handle(now_ms, capacity)
    }

    fn handle(&mut self, now_ms: u64, event: admission::GateEvent) -> Vec<admission::GateAction> {
        let actions = self.gate.handle(now_ms, event);
        for action in &actions {
            if let admission::GateAction::Admit { request_id } = action {
                self.unsent.insert(*request_id);
            }
        }
        actions
    }
}
