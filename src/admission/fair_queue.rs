//! Queue that organisations share by weight, ordered by priority.

use std::collections;

use crate::admission::queued_request;

/// Cost of a request with weight 1, by millisecond of its expected run time.
///
/// Weights are rates in thousandths of a request per second. With a factor of
/// 2^20, the cost of a run of some milliseconds is still precise to 1% for an
/// organisation of 100 requests/s.
const COST_SCALE: u64 = 1 << 20;
/// Maximum number of organisations without queued requests whose use is
/// remembered, for each priority.
const MAX_IDLE_ORGANISATIONS: usize = 4_096;

/// Start-time fair queue of requests. The cost of a request is its expected run
/// time, divided by the weight of its organisation.
///
/// Requests of a higher priority are served first. Within a priority, the
/// organisation that has received the least expected run time for its weight is
/// served next. Ties go to the organisation whose first request has the earliest
/// deadline. Requests of one organisation are served in order of deadline,
/// whether they were sent to a server before or not: a caller whose request a
/// server refused has less time left than one that has just arrived. An
/// organisation that was idle continues at the current virtual time, so it
/// accumulates no share while it has no requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Queued requests by request id.
    by_id: indexmap::IndexMap<u64, queued_request::QueuedRequest>,
    /// Pairs of latest useful start time, in milliseconds, and request id.
    by_latest_start: collections::BTreeSet<(u64, u64)>,
    /// Pairs of the time at which a request is admitted without capacity, in
    /// milliseconds, and request id.
    by_send_time: collections::BTreeSet<(u64, u64)>,
    /// Requests by priority.
    levels: collections::BTreeMap<u32, Level>,
}

/// Requests of one priority.
#[derive(Clone, Debug, Default)]
struct Level {
    organisations: indexmap::IndexMap<String, OrganisationQueue>,
    /// Virtual start time of the request served last.
    virtual_time: u64,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    /// Pairs of deadline, in milliseconds, and request id.
    by_deadline: collections::BTreeSet<(u64, u64)>,
    /// Virtual start time of the next request of the organisation.
    next_virtual_start: u64,
    weight: u64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the request is queued.
    pub(crate) fn contains(&self, request_id: u64) -> bool {
        self.by_id.contains_key(&request_id)
    }

    /// Returns an upper bound on the number of queued requests that would be
    /// served before a new request, if no other requests arrive.
    pub(crate) fn ahead_of(&self, request: &queued_request::QueuedRequest) -> usize {
        let priority = request.arrival.priority;
        let more_urgent = self.levels.range(..priority);
        let more_urgent: usize = more_urgent.map(|(_, level)| level.len()).sum();
        let level = self.levels.get(&priority);
        more_urgent + level.map_or(0, |level| level.ahead_of(request))
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, request: queued_request::QueuedRequest) {
        let arrival = &request.arrival;
        let request_id = arrival.request_id;
        let level = self.levels.entry(arrival.priority).or_default();
        let queue = level.organisation(&arrival.organisation, arrival.weight);
        queue.by_deadline.insert((arrival.deadline_ms, request_id));
        self.by_latest_start
            .insert((request.latest_start_ms, request_id));
        let send_by_ms = arrival.send_by_ms;
        self.by_send_time
            .extend(send_by_ms.map(|send_by_ms| (send_by_ms, request_id)));
        self.by_id.insert(request_id, request);
    }

    /// Removes and returns the request to serve next.
    pub(crate) fn pop(&mut self) -> Option<queued_request::QueuedRequest> {
        let request_id = self.levels.values().find_map(Level::first)?;
        self.serve(request_id)
    }

    /// Removes and returns the most urgent of the requests that are to be
    /// admitted without capacity.
    pub(crate) fn pop_overdue(&mut self, now_ms: u64) -> Option<queued_request::QueuedRequest> {
        let overdue = self.by_send_time.range(..=(now_ms, u64::MAX));
        let next = overdue.min_by_key(|(send_by_ms, request_id)| {
            let request = self.by_id.get(request_id);
            let priority = request.map(|request| request.arrival.priority);
            (priority, *send_by_ms, *request_id)
        });
        let &(_, request_id) = next?;
        self.serve(request_id)
    }

    /// Removes and returns the request with this id.
    pub(crate) fn remove(&mut self, request_id: u64) -> Option<queued_request::QueuedRequest> {
        let request = self.by_id.swap_remove(&request_id)?;
        let arrival = &request.arrival;
        self.by_latest_start
            .remove(&(request.latest_start_ms, request_id));
        if let Some(send_by_ms) = arrival.send_by_ms {
            self.by_send_time.remove(&(send_by_ms, request_id));
        }
        let level = self.levels.get_mut(&arrival.priority);
        let queue = level.and_then(|level| level.organisations.get_mut(&arrival.organisation));
        if let Some(queue) = queue {
            queue.by_deadline.remove(&(arrival.deadline_ms, request_id));
        }
        Some(request)
    }

    /// Removes and returns a request that can no longer complete before its
    /// deadline.
    pub(crate) fn pop_late(&mut self, now_ms: u64) -> Option<queued_request::QueuedRequest> {
        let &(latest_start_ms, request_id) = self.by_latest_start.first()?;
        (latest_start_ms < now_ms).then(|| self.remove(request_id))?
    }

    /// Removes and returns the request that gives way to a new one; `None` if the
    /// new one has to.
    ///
    /// Of the requests that would be served last, it is the one with the latest
    /// deadline of the organisation with the most requests for its weight. A
    /// request of the same priority as the new one gives way only if its
    /// organisation has more for its weight, also after the exchange.
    pub(crate) fn pop_to_make_room(
        &mut self,
        request: &queued_request::QueuedRequest,
    ) -> Option<queued_request::QueuedRequest> {
        let (last_priority, largest) = self.last_organisation()?;
        if last_priority < request.arrival.priority {
            return None;
        }
        if last_priority == request.arrival.priority {
            let level = self.levels.get(&request.arrival.priority);
            let own_len = level.map_or(0, |level| level.len_of(&request.arrival.organisation));
            let own_len = own_len as u128;
            let own_after = (own_len + 1) * u128::from(largest.weight);
            let largest_after = largest.by_deadline.len() as u128 - 1;
            if largest_after * u128::from(request.arrival.weight.max(1)) < own_after {
                return None;
            }
        }
        let &(_, request_id) = largest.by_deadline.last()?;
        self.remove(request_id)
    }

    /// Removes and returns the request with the latest deadline of the organisation
    /// with the most requests for its weight, of those that would be served last.
    pub(crate) fn pop_last(&mut self) -> Option<queued_request::QueuedRequest> {
        let request_id = self.last_organisation()?.1.by_deadline.last()?.1;
        self.remove(request_id)
    }

    /// Returns the priority that is served last and, of its organisations, the queue of
    /// the one with the most requests for its weight.
    fn last_organisation(&self) -> Option<(u32, &OrganisationQueue)> {
        let mut levels = self.levels.iter().rev();
        let (priority, level) = levels.find(|(_, level)| level.len() > 0)?;
        let queues = level.organisations.values();
        let largest =
            queues.max_by(|a, b| a.relative_len(b.weight).cmp(&b.relative_len(a.weight)))?;
        Some((*priority, largest))
    }

    /// Returns the earliest of the latest useful start times of all requests,
    /// in milliseconds.
    pub(crate) fn earliest_latest_start_ms(&self) -> Option<u64> {
        let first = self.by_latest_start.first();
        first.map(|&(latest_start_ms, _)| latest_start_ms)
    }

    /// Returns the earliest time at which a request is admitted without
    /// capacity, in milliseconds.
    pub(crate) fn earliest_send_ms(&self) -> Option<u64> {
        let first = self.by_send_time.first();
        first.map(|&(send_by_ms, _)| send_by_ms)
    }

    /// Removes and returns a request that starts, and charges its organisation.
    fn serve(&mut self, request_id: u64) -> Option<queued_request::QueuedRequest> {
        let request = self.remove(request_id)?;
        let arrival = &request.arrival;
        let level = self.levels.entry(arrival.priority).or_default();
        level.record_served(
            &arrival.organisation,
            arrival.weight,
            arrival.expected_run_ms,
        );
        if level.organisations.is_empty() {
            self.levels.remove(&arrival.priority);
        }
        Some(request)
    }
}

impl Level {
    fn len(&self) -> usize {
        let queues = self.organisations.values();
        queues.map(|queue| queue.by_deadline.len()).sum()
    }

    fn len_of(&self, organisation: &str) -> usize {
        let queue = self.organisations.get(organisation);
        queue.map_or(0, |queue| queue.by_deadline.len())
    }

    /// Returns the id of the request to serve next.
    fn first(&self) -> Option<u64> {
        let queues = self.organisations.values();
        let firsts = queues.filter_map(|queue| {
            let &(deadline_ms, request_id) = queue.by_deadline.first()?;
            Some((queue.next_virtual_start, deadline_ms, request_id))
        });
        firsts.min().map(|(.., request_id)| request_id)
    }

    fn ahead_of(&self, request: &queued_request::QueuedRequest) -> usize {
        let arrival = &request.arrival;
        let weight = arrival.weight.max(1);
        let own = self.organisations.get(&arrival.organisation);
        let own_len = own.map_or(0, |queue| queue.by_deadline.len());
        let others = self
            .organisations
            .iter()
            .filter(|(name, _)| **name != arrival.organisation);
        let others: usize = others
            .map(|(_, queue)| {
                let fair = (own_len as u64 + 1).saturating_mul(queue.weight);
                let fair = usize::try_from(fair.div_ceil(weight)).unwrap_or(usize::MAX);
                queue.by_deadline.len().min(fair)
            })
            .sum();
        own_len + others
    }

    /// Charges the organisation with a request that starts.
    fn record_served(&mut self, organisation: &str, weight: u64, expected_run_ms: u64) {
        let virtual_time = self.virtual_time;
        let queue = self.organisation(organisation, weight);
        let virtual_start = queue.next_virtual_start.max(virtual_time);
        let cost = expected_run_ms.max(1).saturating_mul(COST_SCALE) / queue.weight;
        queue.next_virtual_start = virtual_start.saturating_add(cost.max(1));
        self.virtual_time = virtual_start;
        self.organisations.retain(|_, queue| {
            !queue.by_deadline.is_empty() || queue.next_virtual_start > virtual_start
        });
        if self.organisations.len() > MAX_IDLE_ORGANISATIONS {
            self.organisations
                .retain(|_, queue| !queue.by_deadline.is_empty());
        }
    }

    fn organisation(&mut self, organisation: &str, weight: u64) -> &mut OrganisationQueue {
        let virtual_time = self.virtual_time;
        if !self.organisations.contains_key(organisation) {
            let queue = OrganisationQueue {
                next_virtual_start: virtual_time,
                ..OrganisationQueue::default()
            };
            self.organisations.insert(organisation.to_owned(), queue);
        }
        let queue = &mut self.organisations[organisation];
        queue.weight = weight.max(1);
        if queue.by_deadline.is_empty() {
            queue.next_virtual_start = queue.next_virtual_start.max(virtual_time);
        }
        queue
    }
}

impl OrganisationQueue {
    /// Returns the number of requests multiplied by the weight of another
    /// organisation, for a comparison of both by number and weight.
    fn relative_len(&self, other_weight: u64) -> u128 {
        self.by_deadline.len() as u128 * u128::from(other_weight)
    }
}
