//! Dispatcher of the slots of one service.

use crate::admission;
use crate::balancing;
use crate::balancing::grant_queue;
use crate::balancing::grant_request;
use crate::balancing::granted_slot;
use crate::balancing::server_pool;
use crate::configs;
use crate::state_machine;
use crate::verdict;

/// Interval after which servers are sampled again for queued requests when the
/// last sample left out servers with free slots, in milliseconds.
const RESAMPLE_INTERVAL_MS: u64 = 10;

/// Grants the slots of one service's servers, based on exact counts.
///
/// Requests that find no free slot wait in one short queue, in order of their
/// latest useful start time. All state is soft: a new dispatcher starts empty.
/// Two dispatchers that are active at the same time may grant a slot twice. The
/// server then sheds one of the requests, but no guarantee to callers is
/// violated.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    config: configs::balancing::BalancingConfig,
    resample_at_ms: Option<u64>,
    granted: indexmap::IndexMap<grant_queue::RequestKey, granted_slot::GrantedSlot>,
    least_time_left_percent: u64,
    pool: server_pool::ServerPool,
    queue: grant_queue::GrantQueue,
    retry_schedule: admission::RetrySchedule,
    run_time: admission::AverageRunTime,
}

impl Dispatcher {
    /// Creates a dispatcher without servers.
    #[must_use]
    pub fn new(
        config: &configs::balancing::BalancingConfig,
        admission_config: &configs::admission::AdmissionConfig,
        seed: u64,
    ) -> Self {
        Self {
            config: config.clone(),
            resample_at_ms: None,
            granted: indexmap::IndexMap::new(),
            least_time_left_percent: u64::from(admission_config.least_time_left_percent),
            pool: server_pool::ServerPool::new(config, seed),
            queue: grant_queue::GrantQueue::default(),
            retry_schedule: admission::RetrySchedule::new(admission_config, seed),
            run_time: admission::AverageRunTime::default(),
        }
    }

    /// Returns the time at which the next `Tick` is due, in milliseconds, or
    /// `None` when no timeout is pending.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let late = self.queue.earliest_latest_start_ms();
        let late_ms = late.map(|latest_start_ms| latest_start_ms + 1);
        let expires_ms = self.granted.values().map(|slot| slot.expires_ms).min();
        [late_ms, expires_ms, self.resample_at_ms]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of granted slots.
    #[must_use]
    pub fn granted_slots(&self) -> usize {
        self.granted.len()
    }

    /// Queues a new request, or refuses it if it cannot complete before its
    /// deadline. Repeats the grant of a request that already has a slot.
    fn request_grant(
        &mut self,
        now_ms: u64,
        key: &grant_queue::RequestKey,
        request: grant_request::GrantRequest,
        expected_run_ms: u64,
    ) -> Option<balancing::DispatcherAction> {
        if let Some(slot) = self.granted.get(key) {
            let server_id = slot.server_id.clone();
            return Some(self.grant(key, request.message_id, server_id));
        }
        if self.queue.contains(key) {
            return None;
        }
        let start_ms = now_ms.saturating_add(self.expected_wait_ms(&request, expected_run_ms));
        if start_ms.saturating_add(self.needed_ms(expected_run_ms)) > request.deadline_ms {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return Some(self.refuse(now_ms, key.clone(), request.message_id, reason));
        }
        self.queue.push(key.clone(), request);
        None
    }

    fn expected_wait_ms(&self, request: &grant_request::GrantRequest, expected_run_ms: u64) -> u64 {
        if self.pool.has_free_slot() {
            return 0;
        }
        let ahead = self.queue.ahead_of(request.latest_start_ms) as u64 + 1;
        let slot_count = u64::from(self.pool.slot_count().max(1));
        let run_ms = self.run_time.average_ms(expected_run_ms);
        run_ms.saturating_mul(ahead) / slot_count
    }

    /// Returns the minimum time between the start and the deadline of a
    /// request, in milliseconds.
    fn needed_ms(&self, expected_run_ms: u64) -> u64 {
        expected_run_ms.saturating_mul(self.least_time_left_percent) / 100
    }

    fn return_grant(&mut self, now_ms: u64, key: &grant_queue::RequestKey) {
        self.queue.remove(key);
        if let Some(slot) = self.granted.swap_remove(key) {
            self.pool.release(&slot.server_id);
            self.run_time
                .record(now_ms.saturating_sub(slot.granted_at_ms));
            self.retry_schedule.record_completion(now_ms);
        }
    }

    fn replace_servers(&mut self, servers: Vec<balancing::DispatcherServer>) {
        let granted = &self.granted;
        self.pool.replace(servers, |server_id| {
            let slots = granted.values();
            let slots = slots.filter(|slot| slot.server_id == server_id);
            u32::try_from(slots.count()).unwrap_or(u32::MAX)
        });
    }

    /// Reclaims slots that were not returned before their expiry.
    fn reclaim_expired(&mut self, now_ms: u64) {
        let expired: Vec<grant_queue::RequestKey> = self
            .granted
            .iter()
            .filter(|(_, slot)| slot.expires_ms <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            if let Some(slot) = self.granted.swap_remove(&key) {
                self.pool.release(&slot.server_id);
            }
        }
    }

    fn refuse_late(&mut self, now_ms: u64) -> Vec<balancing::DispatcherAction> {
        let mut actions = Vec::new();
        while let Some((key, request)) = self.queue.pop_late(now_ms) {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            actions.push(self.refuse(now_ms, key, request.message_id, reason));
        }
        actions
    }

    fn refuse_beyond_limit(&mut self, now_ms: u64) -> Vec<balancing::DispatcherAction> {
        let mut actions = Vec::new();
        while self.queue.len() > self.config.grant_queue_requests {
            let Some((key, request)) = self.queue.pop_last() else {
                break;
            };
            let reason = verdict::RefusalReason::QueueFull;
            actions.push(self.refuse(now_ms, key, request.message_id, reason));
        }
        actions
    }

    fn grant_waiting(&mut self, now_ms: u64) -> Vec<balancing::DispatcherAction> {
        let mut actions = Vec::new();
        while self.pool.has_free_slot() {
            let pool = &mut self.pool;
            let next = self.queue.iter().find_map(|(key, request)| {
                let excluded = request.excluded_server_id.as_deref();
                let server_id = pool.acquire(now_ms, excluded)?;
                Some((key.clone(), server_id))
            });
            let Some((key, server_id)) = next else {
                break;
            };
            let Some(request) = self.queue.remove(&key) else {
                break;
            };
            actions.push(self.grant(&key, request.message_id, server_id.clone()));
            let slot = granted_slot::GrantedSlot {
                expires_ms: request
                    .deadline_ms
                    .saturating_add(self.config.grant_grace_ms),
                granted_at_ms: now_ms,
                server_id,
            };
            self.granted.insert(key, slot);
        }
        let needs_resampling = self.queue.len() > 0 && self.pool.has_free_slot();
        self.resample_at_ms = needs_resampling.then_some(now_ms + RESAMPLE_INTERVAL_MS);
        actions
    }

    fn grant(
        &self,
        key: &grant_queue::RequestKey,
        message_id: u64,
        server_id: String,
    ) -> balancing::DispatcherAction {
        balancing::DispatcherAction::Grant {
            message_id,
            request_id: key.1,
            server_id,
            to: key.0.clone(),
            valid_ms: self.config.grant_valid_ms,
        }
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        key: grant_queue::RequestKey,
        message_id: u64,
        reason: verdict::RefusalReason,
    ) -> balancing::DispatcherAction {
        let retry_after_ms = self.retry_schedule.retry_after_ms(now_ms);
        balancing::DispatcherAction::Refuse {
            message_id,
            refusal: verdict::Refusal::not_run(reason, retry_after_ms),
            request_id: key.1,
            to: key.0,
        }
    }

    fn grant_and_refuse(&mut self, now_ms: u64) -> Vec<balancing::DispatcherAction> {
        let mut actions = self.grant_waiting(now_ms);
        actions.extend(self.refuse_beyond_limit(now_ms));
        actions
    }
}

impl state_machine::StateMachine for Dispatcher {
    type Action = balancing::DispatcherAction;
    type Event = balancing::DispatcherEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        self.reclaim_expired(now_ms);
        let mut actions = self.refuse_late(now_ms);
        match event {
            balancing::DispatcherEvent::GrantRequested {
                deadline_ms,
                excluded_server_id,
                expected_run_ms,
                from,
                message_id,
                request_id,
            } => {
                let needed_ms = self.needed_ms(expected_run_ms);
                let request = grant_request::GrantRequest {
                    deadline_ms,
                    excluded_server_id,
                    latest_start_ms: deadline_ms.saturating_sub(needed_ms),
                    message_id,
                };
                let key = (from, request_id);
                actions.extend(self.request_grant(now_ms, &key, request, expected_run_ms));
                actions.extend(self.grant_and_refuse(now_ms));
                if self.queue.contains(&key) {
                    actions.push(balancing::DispatcherAction::Queued {
                        message_id,
                        request_id,
                        to: key.0,
                    });
                }
                return actions;
            }
            balancing::DispatcherEvent::GrantReturned { from, request_id } => {
                self.return_grant(now_ms, &(from, request_id));
            }
            balancing::DispatcherEvent::ServersChanged { servers } => {
                self.replace_servers(servers);
            }
            balancing::DispatcherEvent::Tick => {}
        }
        actions.extend(self.grant_and_refuse(now_ms));
        actions
    }
}
