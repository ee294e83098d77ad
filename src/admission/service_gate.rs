//! Admission of requests to one service.

use std::num;

use crate::admission;
use crate::admission::average_run_time;
use crate::admission::fair_queue;
use crate::admission::queued_request;
use crate::bundle;
use crate::configs;
use crate::state_machine;
use crate::verdict;

/// Admits requests to one service up to this entry VM's share of its capacity.
///
/// Requests beyond the share wait in a bounded queue, which is ordered by
/// deadline and shared evenly between organisations. A request that cannot
/// complete before its deadline is refused as soon as this is known, so that
/// the caller does not wait until the deadline.
#[derive(Clone, Debug)]
pub struct ServiceGate {
    concurrent_requests: usize,
    /// Start time of each running request, in milliseconds, by request id.
    in_flight: indexmap::IndexMap<u64, u64>,
    least_time_left_percent: u64,
    queue: fair_queue::FairQueue,
    /// Current upper bound on the number of queued requests. It exceeds
    /// `queue_limit` only after the limit was lowered, until enough of the
    /// requests queued at that time have left.
    queue_bound: usize,
    queue_limit: usize,
    retry_schedule: admission::RetrySchedule,
    run_time: average_run_time::AverageRunTime,
}

impl ServiceGate {
    /// Creates a gate that admits as many requests as the service has slots,
    /// until [`admission::GateEvent::CapacityChanged`] sets this entry VM's
    /// share.
    #[must_use]
    pub fn new(
        config: &configs::admission::AdmissionConfig,
        service: &bundle::Service,
        seed: u64,
    ) -> Self {
        let slots = service.servers.values();
        let slots = slots.map(|server| server.slot_count as usize).sum();
        Self {
            concurrent_requests: slots,
            in_flight: indexmap::IndexMap::new(),
            least_time_left_percent: u64::from(config.least_time_left_percent),
            queue: fair_queue::FairQueue::default(),
            queue_bound: service.queue_limit_requests as usize,
            queue_limit: service.queue_limit_requests as usize,
            retry_schedule: admission::RetrySchedule::new(config, seed),
            run_time: average_run_time::AverageRunTime::default(),
        }
    }

    /// Returns the number of requests that one of `vm_count` entry VMs may run
    /// concurrently: an even share of the healthy slots, increased by
    /// `overcommit_percent` and limited to `healthy_slots`.
    #[must_use]
    pub fn vm_share_requests(
        config: &configs::admission::AdmissionConfig,
        healthy_slots: u32,
        vm_count: num::NonZeroU32,
    ) -> u32 {
        let percent = 100 + u64::from(config.overcommit_percent);
        let share = u64::from(healthy_slots) * percent;
        let share = share.div_ceil(u64::from(vm_count.get()) * 100);
        u32::try_from(share).unwrap_or(u32::MAX).min(healthy_slots)
    }

    /// Returns the time at which the next `Tick` is due, in milliseconds;
    /// `None` when no request is queued.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let latest_start_ms = self.queue.earliest_latest_start_ms();
        latest_start_ms.map(|latest_start_ms| latest_start_ms + 1)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the retry delay of a request to this service that was refused
    /// outside this gate, in milliseconds, with jitter.
    pub fn retry_after_ms(&mut self, now_ms: u64) -> u64 {
        self.retry_schedule.retry_after_ms(now_ms)
    }

    /// Applies an event.
    ///
    /// An arriving request is not applied but returned, because late requests
    /// must be removed from the queue before it is admitted, queued or refused.
    fn apply(
        &mut self,
        now_ms: u64,
        event: admission::GateEvent,
    ) -> Option<queued_request::QueuedRequest> {
        match event {
            admission::GateEvent::Arrive {
                deadline_ms,
                expected_run_ms,
                organisation,
                request_id,
            } => {
                let needed_ms = self.needed_ms(expected_run_ms);
                return Some(queued_request::QueuedRequest {
                    deadline_ms,
                    expected_run_ms,
                    latest_start_ms: deadline_ms.saturating_sub(needed_ms),
                    organisation,
                    request_id,
                });
            }
            admission::GateEvent::Cancel { request_id } => {
                self.queue.remove(request_id);
                self.finish(now_ms, request_id);
            }
            admission::GateEvent::CapacityChanged {
                concurrent_requests,
            } => self.concurrent_requests = concurrent_requests as usize,
            admission::GateEvent::Finish { request_id } => self.finish(now_ms, request_id),
            admission::GateEvent::QueueLimitChanged {
                queue_limit_requests,
            } => self.queue_limit = queue_limit_requests as usize,
            admission::GateEvent::Tick => {}
        }
        None
    }

    fn arrive(
        &mut self,
        now_ms: u64,
        request: queued_request::QueuedRequest,
    ) -> Vec<admission::GateAction> {
        let is_known = self.in_flight.contains_key(&request.request_id)
            || self.queue.contains(request.request_id);
        if is_known {
            return Vec::new();
        }
        let needed_ms = self.needed_ms(request.expected_run_ms);
        let start_ms = self.expected_start_ms(now_ms, &request);
        if start_ms.saturating_add(needed_ms) > request.deadline_ms {
            return vec![self.refuse(
                now_ms,
                request.request_id,
                verdict::RefusalReason::DeadlineExceeded,
            )];
        }
        if self.queue.len() < self.queue_limit || self.has_capacity() {
            self.queue.push(request);
            return Vec::new();
        }
        self.replace_or_refuse(now_ms, request)
    }

    fn replace_or_refuse(
        &mut self,
        now_ms: u64,
        request: queued_request::QueuedRequest,
    ) -> Vec<admission::GateAction> {
        let replaced = self.queue.pop_from_largest(&request.organisation);
        let reason = verdict::RefusalReason::QueueFull;
        let Some(replaced) = replaced else {
            return vec![self.refuse(now_ms, request.request_id, reason)];
        };
        self.queue.push(request);
        vec![self.refuse(now_ms, replaced.request_id, reason)]
    }

    fn expected_start_ms(&self, now_ms: u64, request: &queued_request::QueuedRequest) -> u64 {
        if self.has_capacity() {
            return now_ms;
        }
        let ahead = self.queue.ahead_of(&request.organisation) + 1;
        let run_ms = self.run_time.average_ms(request.expected_run_ms);
        let concurrency = self.concurrent_requests.max(1) as u64;
        let wait_ms = run_ms.saturating_mul(ahead as u64) / concurrency;
        now_ms.saturating_add(wait_ms)
    }

    /// Returns the minimum time between the start and the deadline of a
    /// request, in milliseconds.
    fn needed_ms(&self, expected_run_ms: u64) -> u64 {
        expected_run_ms.saturating_mul(self.least_time_left_percent) / 100
    }

    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.concurrent_requests
    }

    fn finish(&mut self, now_ms: u64, request_id: u64) {
        if let Some(started_ms) = self.in_flight.swap_remove(&request_id) {
            self.run_time.record(now_ms.saturating_sub(started_ms));
            self.retry_schedule.record_completion(now_ms);
        }
    }

    fn refuse_late(&mut self, now_ms: u64) -> Vec<admission::GateAction> {
        let reason = verdict::RefusalReason::DeadlineExceeded;
        let mut actions = Vec::new();
        while let Some(late) = self.queue.pop_late(now_ms) {
            actions.push(self.refuse(now_ms, late.request_id, reason));
        }
        actions
    }

    fn admit_next(&mut self, now_ms: u64) -> Vec<admission::GateAction> {
        let mut actions = Vec::new();
        while self.has_capacity() {
            let Some(request) = self.queue.pop() else {
                break;
            };
            let request_id = request.request_id;
            self.in_flight.insert(request_id, now_ms);
            actions.push(admission::GateAction::Admit { request_id });
        }
        actions
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        request_id: u64,
        reason: verdict::RefusalReason,
    ) -> admission::GateAction {
        let retry_after_ms = self.retry_schedule.retry_after_ms(now_ms);
        admission::GateAction::Refuse {
            refusal: verdict::Refusal::not_run(reason, retry_after_ms),
            request_id,
        }
    }

    fn assert_invariants(&mut self) {
        let queued_count = self.queue.len();
        self.queue_bound = self.queue_limit.max(queued_count.min(self.queue_bound));
        assert!(
            queued_count <= self.queue_bound,
            "a service's queue never grows beyond its limit"
        );
        assert!(
            self.queue.len() == 0 || !self.has_capacity(),
            "no request is queued while capacity is free"
        );
    }
}

impl state_machine::StateMachine for ServiceGate {
    type Action = admission::GateAction;
    type Event = admission::GateEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        let arrival = self.apply(now_ms, event);
        let mut actions = self.refuse_late(now_ms);
        if let Some(request) = arrival {
            actions.extend(self.arrive(now_ms, request));
        }
        actions.extend(self.admit_next(now_ms));
        self.assert_invariants();
        actions
    }
}
