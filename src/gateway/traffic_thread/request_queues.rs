//! Requests that wait at this VM for a free slot of a server.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::oneshot;

use crate::admission;
use crate::gateway;
use crate::gateway::request_queue;
use crate::gateway::traffic_thread::attempt_history;
use crate::gateway::traffic_thread::request_log;
use crate::gateway::traffic_thread::routed_request;
use crate::gateway::traffic_thread::server_choice;
use crate::verdict;

/// Minimum interval between checks because of load reports, in milliseconds. With 96
/// VMs there are 640 reports a second, and each check counts the load of all servers.
const REPORT_CHECK_INTERVAL_MS: u64 = 5;
/// Shortest wait that is logged, in milliseconds: log lines are limited, and most requests
/// find a free slot at once.
const MIN_LOGGED_WAIT_MS: u64 = 10;

/// Decision on a request that waits: `None` admits it.
type Decision = Option<verdict::Refusal>;

/// Requests that wait at this VM for a free slot of a server, by service.
#[derive(Debug, Default)]
pub struct RequestQueues {
    /// Wakes the task that checks for free slots while requests wait.
    arrivals: tokio::sync::Notify,
    last_request_id: atomic::AtomicU64,
    /// Locked before the pool of backend servers where both are.
    queues: sync::Mutex<Queues>,
}

#[derive(Debug, Default)]
struct Queues {
    by_service: indexmap::IndexMap<String, ServiceQueue>,
    report_checked_ms: u64,
}

#[derive(Debug)]
struct ServiceQueue {
    queue: gateway::RequestQueue,
    waiting: indexmap::IndexMap<u64, oneshot::Sender<Decision>>,
}

/// Place of a request in the queue of its service and, once it is admitted, of its
/// slot. When it is dropped, its place or slot is given to the next request.
pub struct Place {
    id: u64,
    is_served: bool,
    service: String,
    shared: sync::Arc<gateway::Shared>,
}

impl RequestQueues {
    fn lock(&self) -> sync::MutexGuard<'_, Queues> {
        self.queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Queues {
    fn has_waiting_requests(&self) -> bool {
        let mut queues = self.by_service.values();
        queues.any(|queue| queue.queue.queued_requests() > 0)
    }

    fn service(&mut self, shared: &gateway::Shared, service: &str) -> &mut ServiceQueue {
        if !self.by_service.contains_key(service) {
            let limit = shared.config.waiting.queue_limit_requests;
            let queue = ServiceQueue {
                queue: gateway::RequestQueue::new(limit, rand::random()),
                waiting: indexmap::IndexMap::new(),
            };
            self.by_service.insert(service.to_owned(), queue);
        }
        &mut self.by_service[service]
    }

    /// Decides again on the waiting requests of all services.
    fn check(&mut self, shared: &gateway::Shared, now_ms: u64) {
        for (service, queue) in &mut self.by_service {
            if queue.queue.queued_requests() > 0 {
                let free_slots = server_choice::free_slot_count(shared, service);
                queue.update(|queue| queue.update(now_ms, free_slots));
            }
        }
    }
}

impl ServiceQueue {
    /// Lets `update` decide on requests, and passes the decisions on.
    fn update(
        &mut self,
        update: impl FnOnce(&mut gateway::RequestQueue) -> Vec<admission::GateAction>,
    ) {
        for action in update(&mut self.queue) {
            let (request_id, decision) = match action {
                admission::GateAction::Admit { request_id } => (request_id, None),
                admission::GateAction::Refuse {
                    refusal,
                    request_id,
                } => (request_id, Some(refusal)),
            };
            if let Some(sender) = self.waiting.swap_remove(&request_id) {
                // If the caller has left, its place is about to be dropped.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Waits until there is a free slot for a request, or until it has waited long enough.
///
/// # Errors
///
/// Returns a refusal as soon as it is known that the request cannot be served in time.
pub async fn wait_for_slot(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
) -> Result<Place, verdict::Refusal> {
    let (sender, receiver) = oneshot::channel();
    let queues = &shared.request_queues;
    // The place is created before the decision, so that it is given up if the caller
    // leaves meanwhile.
    let place = Place {
        id: queues
            .last_request_id
            .fetch_add(1, atomic::Ordering::Relaxed),
        is_served: false,
        service: routed.service.to_owned(),
        shared: sync::Arc::clone(shared),
    };
    let begun_ms = shared.now_ms();
    let arrival = arrival(shared, routed, begun_ms, place.id);
    {
        let mut queues = queues.lock();
        let queue = queues.service(shared, routed.service);
        queue.waiting.insert(place.id, sender);
        let free_slots = server_choice::free_slot_count(shared, routed.service);
        queue.update(|queue| queue.arrive(begun_ms, arrival, free_slots));
        if queue.queue.queued_requests() > 0 {
            shared.request_queues.arrivals.notify_one();
        }
    }
    // Without a decision, the sender is dropped, which happens only with the process.
    let refusal = receiver.await.unwrap_or_default();
    let waited_ms = shared.now_ms().saturating_sub(begun_ms);
    shared.metrics.record_ms("request.wait", waited_ms);
    let Some(refusal) = refusal else {
        if waited_ms >= MIN_LOGGED_WAIT_MS {
            request_log::record_wait(shared, routed, waited_ms);
        }
        return Ok(place);
    };
    Err(refusal)
}

/// Gives free slots to waiting requests after a load report of another VM.
pub fn check_after_report(shared: &gateway::Shared) {
    let now_ms = shared.now_ms();
    let mut queues = shared.request_queues.lock();
    if now_ms >= queues.report_checked_ms + REPORT_CHECK_INTERVAL_MS {
        queues.report_checked_ms = now_ms;
        queues.check(shared, now_ms);
    }
}

/// Gives free slots to waiting requests at regular intervals while there are any.
pub async fn check_regularly(shared: sync::Arc<gateway::Shared>) {
    let check_interval = time::Duration::from_millis(request_queue::CHECK_INTERVAL_MS);
    loop {
        shared.request_queues.arrivals.notified().await;
        while shared.request_queues.lock().has_waiting_requests() {
            tokio::time::sleep(check_interval).await;
            let now_ms = shared.now_ms();
            shared.request_queues.lock().check(&shared, now_ms);
        }
    }
}

fn arrival(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    now_ms: u64,
    request_id: u64,
) -> admission::Arrival {
    let request = gateway::WaitingRequest {
        high_run_ms: shared.run_times().high_ms(routed.route),
        mean_run_ms: shared.mean_run_ms(routed.service),
        organisation: routed.organisation,
        request_id,
        route: routed.route,
        time_left_ms: routed.time_left_ms(),
        weight: routed.weight,
    };
    request.arrival(now_ms)
}

impl Place {
    /// Chooses a server, preferably one with a free slot, and counts the request there;
    /// `None` if there is none.
    pub fn choose(
        &self,
        routed: &routed_request::RoutedRequest<'_>,
        history: &attempt_history::AttemptHistory,
    ) -> Option<gateway::Choice> {
        // With both changes under the same lock, the slot is never counted twice or not
        // at all.
        let mut queues = self.shared.request_queues.lock();
        let choice = server_choice::choose_free(&self.shared, routed, history);
        if let Some(queue) = queues.by_service.get_mut(&self.service) {
            queue.queue.record_choice(self.id);
        }
        choice
    }

    /// Records that the request was served.
    pub const fn record_served(&mut self) {
        self.is_served = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now_ms = self.shared.now_ms();
        let mut queues = self.shared.request_queues.lock();
        let Some(queue) = queues.by_service.get_mut(&self.service) else {
            return;
        };
        queue.waiting.swap_remove(&self.id);
        let free_slots = server_choice::free_slot_count(&self.shared, &self.service);
        let (id, is_served) = (self.id, self.is_served);
        queue.update(|queue| queue.finish(now_ms, id, is_served, free_slots));
    }
}
