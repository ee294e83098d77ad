//! Admission of requests to one service.

use std::num;

use crate::admission;
use crate::admission::average_run_time;
use crate::admission::class_rates;
use crate::admission::fair_queue;
use crate::admission::queued_request;
use crate::bundle;
use crate::configs;
use crate::state_machine;
use crate::verdict;

const MICRO: u64 = 1_000_000;
/// Run time, in percent of the average, up to which a request that was sent without
/// capacity counts as one that found a free slot. Behind a server's running requests, it
/// would have waited for a quarter of a run or more with up to four slots.
const FAST_RUN_PERCENT: u64 = 125;

/// Admits requests to one service up to this entry VM's share of its capacity.
///
/// Requests beyond the share wait in a bounded queue, which is ordered by
/// priority, and within a priority by deadline and shared between organisations
/// by weight. A request that cannot
/// complete before its deadline is refused as soon as this is known, so that
/// the caller does not wait until the deadline.
#[derive(Clone, Debug)]
pub struct ServiceGate {
    /// Rates by priority; `None` as long as all requests have the same.
    class_rates: Option<class_rates::ClassRates>,
    concurrent_requests: usize,
    /// Start time of each running request, in milliseconds, by request id.
    in_flight: indexmap::IndexMap<u64, u64>,
    least_time_left_percent: u64,
    /// Running requests that were admitted without capacity.
    overdue: indexmap::IndexSet<u64>,
    /// Number of such requests that may run beyond `overdue_limit`. It grows while
    /// they run as fast as others, which shows that there are free slots.
    overdue_growth: usize,
    overdue_limit: usize,
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
            class_rates: None,
            concurrent_requests: slots,
            in_flight: indexmap::IndexMap::new(),
            least_time_left_percent: u64::from(config.least_time_left_percent),
            overdue: indexmap::IndexSet::new(),
            overdue_growth: 0,
            overdue_limit: usize::MAX,
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
        let late_ms = latest_start_ms.map(|latest_start_ms| latest_start_ms.saturating_add(1));
        let send_ms = self.queue.earliest_send_ms();
        let send_ms = send_ms.filter(|_| self.may_exceed_capacity());
        late_ms.into_iter().chain(send_ms).min()
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

    /// Returns whether the request has been admitted and has not ended.
    #[must_use]
    pub fn is_running(&self, request_id: u64) -> bool {
        self.in_flight.contains_key(&request_id)
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
                return Some(self.queued_request(admission::Arrival {
                    deadline_ms,
                    expected_run_ms,
                    needed_ms: 0,
                    organisation,
                    priority: 0,
                    request_id,
                    send_by_ms: None,
                    weight: 1,
                }));
            }
            admission::GateEvent::ArriveWeighted(arrival) => {
                let rates = self.class_rates.get_or_insert_default();
                rates.record_arrival(now_ms, arrival.priority);
                return Some(self.queued_request(arrival));
            }
            admission::GateEvent::Cancel { request_id } => {
                self.queue.remove(request_id);
                if self.overdue.contains(&request_id) {
                    self.overdue_growth = 0;
                }
                if self.class_rates.is_some() {
                    // A request that a server refused says nothing about run times.
                    self.in_flight.swap_remove(&request_id);
                    self.overdue.swap_remove(&request_id);
                }
                self.finish(now_ms, request_id);
            }
            admission::GateEvent::CapacityChanged {
                concurrent_requests,
            } => self.concurrent_requests = concurrent_requests as usize,
            admission::GateEvent::Finish { request_id } => {
                if self.overdue.contains(&request_id) {
                    self.record_overdue_finish(now_ms, request_id);
                }
                self.finish(now_ms, request_id);
            }
            admission::GateEvent::OverdueLimitChanged { overdue_requests } => {
                self.overdue_limit = overdue_requests as usize;
            }
            admission::GateEvent::QueueLimitChanged {
                queue_limit_requests,
            } => self.queue_limit = queue_limit_requests as usize,
            admission::GateEvent::Tick => {}
        }
        None
    }

    fn queued_request(&self, arrival: admission::Arrival) -> queued_request::QueuedRequest {
        let needed_ms = self.needed_ms(arrival.expected_run_ms);
        let needed_ms = needed_ms.max(arrival.needed_ms);
        queued_request::QueuedRequest {
            needed_ms,
            latest_start_ms: arrival.deadline_ms.saturating_sub(needed_ms),
            arrival,
        }
    }

    fn arrive(
        &mut self,
        now_ms: u64,
        request: queued_request::QueuedRequest,
    ) -> Vec<admission::GateAction> {
        let request_id = request.arrival.request_id;
        let is_known = self.in_flight.contains_key(&request_id) || self.queue.contains(request_id);
        if is_known {
            return Vec::new();
        }
        let start_ms = self.expected_start_ms(now_ms, &request);
        // With a free slot, a request that is faster than the average may be served.
        let may_try = self.class_rates.is_some() && self.has_capacity();
        if !may_try && start_ms.saturating_add(request.needed_ms) > request.arrival.deadline_ms {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return vec![self.refuse(now_ms, request_id, reason)];
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
        let replaced = self.queue.pop_to_make_room(&request);
        let reason = verdict::RefusalReason::QueueFull;
        let Some(replaced) = replaced else {
            return vec![self.refuse(now_ms, request.arrival.request_id, reason)];
        };
        self.queue.push(request);
        vec![self.refuse(now_ms, replaced.arrival.request_id, reason)]
    }

    fn expected_start_ms(&mut self, now_ms: u64, request: &queued_request::QueuedRequest) -> u64 {
        if self.has_capacity() {
            return now_ms;
        }
        let ahead = self.queue.ahead_of(request) as u64 + 1;
        let run_ms = self.run_time.average_ms(request.arrival.expected_run_ms);
        let concurrency = self.concurrent_requests.max(1) as u64;
        let wait_ms = match &mut self.class_rates {
            None => run_ms.saturating_mul(ahead) / concurrency,
            Some(rates) => {
                let capacity = concurrency.saturating_mul(MICRO) / run_ms.max(1);
                let priority = request.arrival.priority;
                let available = rates.available_milli_per_s(now_ms, priority, capacity);
                ahead.saturating_mul(MICRO) / available
            }
        };
        let start_ms = now_ms.saturating_add(wait_ms);
        // Those ahead are sent without capacity first.
        let is_next = ahead <= self.overdue_room() as u64;
        let send_by_ms = request.arrival.send_by_ms.filter(|_| is_next);
        start_ms.min(send_by_ms.unwrap_or(u64::MAX).max(now_ms))
    }

    /// Returns the minimum time between the start and the deadline of a
    /// request, in milliseconds.
    fn needed_ms(&self, expected_run_ms: u64) -> u64 {
        expected_run_ms.saturating_mul(self.least_time_left_percent) / 100
    }

    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.concurrent_requests
    }

    fn may_exceed_capacity(&self) -> bool {
        self.overdue_room() > 0
    }

    /// Returns how many more requests may be admitted without capacity.
    fn overdue_room(&self) -> usize {
        let limit = self.overdue_limit.saturating_add(self.overdue_growth);
        limit.saturating_sub(self.overdue.len())
    }

    /// Removes and returns the next request that is admitted without capacity.
    ///
    /// After one that has found a free slot, the others need not wait: what it found is
    /// newer than what they wait for.
    fn pop_overdue(&mut self, now_ms: u64) -> Option<queued_request::QueuedRequest> {
        if self.overdue_growth > 0 {
            return self.queue.pop();
        }
        self.queue.pop_overdue(now_ms)
    }

    /// Allows more requests beyond the capacity if this one ran as fast as others.
    fn record_overdue_finish(&mut self, now_ms: u64, request_id: u64) {
        let started_ms = self.in_flight.get(&request_id).copied();
        let ran_ms = now_ms.saturating_sub(started_ms.unwrap_or(now_ms));
        let fast_ms = self.run_time.average_ms(ran_ms) * FAST_RUN_PERCENT / 100;
        self.overdue_growth = if ran_ms <= fast_ms {
            (self.overdue_growth + 1).min(self.queue_limit)
        } else {
            0
        };
    }

    fn finish(&mut self, now_ms: u64, request_id: u64) {
        self.overdue.swap_remove(&request_id);
        if let Some(started_ms) = self.in_flight.swap_remove(&request_id) {
            self.run_time.record(now_ms.saturating_sub(started_ms));
            self.retry_schedule.record_completion(now_ms);
        }
    }

    fn refuse_late(&mut self, now_ms: u64) -> Vec<admission::GateAction> {
        let reason = verdict::RefusalReason::DeadlineExceeded;
        let mut actions = Vec::new();
        while let Some(late) = self.queue.pop_late(now_ms) {
            actions.push(self.refuse(now_ms, late.arrival.request_id, reason));
        }
        if self.class_rates.is_some() {
            while let Some(last) = self.queue.pop_last() {
                if self.expected_start_ms(now_ms, &last) <= last.latest_start_ms {
                    self.queue.push(last);
                    break;
                }
                actions.push(self.refuse(now_ms, last.arrival.request_id, reason));
            }
        }
        actions
    }

    fn admit_next(&mut self, now_ms: u64) -> Vec<admission::GateAction> {
        let mut actions = Vec::new();
        while self.has_capacity()
            && let Some(request) = self.queue.pop()
        {
            actions.push(self.admit(now_ms, &request));
        }
        // These requests exceed the capacity, so they must not take it from those
        // that are next in order.
        while self.may_exceed_capacity()
            && let Some(request) = self.pop_overdue(now_ms)
        {
            self.overdue.insert(request.arrival.request_id);
            actions.push(self.admit(now_ms, &request));
        }
        actions
    }

    /// Admits a request that has been removed from the queue.
    fn admit(
        &mut self,
        now_ms: u64,
        request: &queued_request::QueuedRequest,
    ) -> admission::GateAction {
        let request_id = request.arrival.request_id;
        if let Some(rates) = &mut self.class_rates {
            rates.record_admission(now_ms);
        }
        self.in_flight.insert(request_id, now_ms);
        admission::GateAction::Admit { request_id }
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
