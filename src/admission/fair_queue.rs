//! Queue that organisations share evenly.

use std::collections;

use crate::admission::queued_request;

/// Start-time fair queue of requests. The cost of a request is its expected run
/// time.
///
/// The organisation that has received the least expected run time is served
/// next. Ties go to the organisation whose first request has the earliest
/// deadline. Requests of one organisation are served in order of deadline. An
/// organisation that was idle continues at the current virtual time, so it
/// accumulates no share while it has no requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Queued requests by request id.
    by_id: indexmap::IndexMap<u64, queued_request::QueuedRequest>,
    /// Pairs of latest useful start time, in milliseconds, and request id.
    by_latest_start: collections::BTreeSet<(u64, u64)>,
    organisations: indexmap::IndexMap<String, OrganisationQueue>,
    /// Virtual start time of the request served last, in milliseconds of
    /// expected run time.
    virtual_time_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    /// Pairs of deadline, in milliseconds, and request id.
    by_deadline: collections::BTreeSet<(u64, u64)>,
    /// Virtual start time of the next request of the organisation, in
    /// milliseconds of expected run time.
    next_virtual_start_ms: u64,
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
    /// served before a new request of the organisation.
    pub(crate) fn ahead_of(&self, organisation: &str) -> usize {
        let own = self.queued_by(organisation);
        let others = self.organisations.iter();
        let others = others
            .filter(|(name, _)| name.as_str() != organisation)
            .map(|(_, queue)| queue.by_deadline.len().min(own + 1))
            .sum::<usize>();
        own + others
    }

    /// Returns the number of queued requests of the organisation.
    pub(crate) fn queued_by(&self, organisation: &str) -> usize {
        let queue = self.organisations.get(organisation);
        queue.map_or(0, |queue| queue.by_deadline.len())
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, request: queued_request::QueuedRequest) {
        let queue = self.organisation(&request.organisation);
        queue
            .by_deadline
            .insert((request.deadline_ms, request.request_id));
        self.by_latest_start
            .insert((request.latest_start_ms, request.request_id));
        self.by_id.insert(request.request_id, request);
    }

    /// Removes and returns the request to serve next.
    pub(crate) fn pop(&mut self) -> Option<queued_request::QueuedRequest> {
        let next = self
            .organisations
            .values()
            .filter_map(|queue| Some((queue.next_virtual_start_ms, *queue.by_deadline.first()?)))
            .min()?;
        let (_, (_, request_id)) = next;
        let request = self.remove(request_id)?;
        self.record_served(&request.organisation, request.expected_run_ms);
        Some(request)
    }

    /// Charges the organisation with a request that starts, whether or not it
    /// was queued.
    pub(crate) fn record_served(&mut self, organisation: &str, expected_run_ms: u64) {
        let virtual_time_ms = self.virtual_time_ms;
        let queue = self.organisation(organisation);
        let virtual_start_ms = queue.next_virtual_start_ms.max(virtual_time_ms);
        queue.next_virtual_start_ms = virtual_start_ms.saturating_add(expected_run_ms.max(1));
        self.virtual_time_ms = virtual_start_ms;
        self.organisations.retain(|_, queue| {
            !queue.by_deadline.is_empty() || queue.next_virtual_start_ms > virtual_start_ms
        });
    }

    /// Removes and returns the request with this id.
    pub(crate) fn remove(&mut self, request_id: u64) -> Option<queued_request::QueuedRequest> {
        let request = self.by_id.swap_remove(&request_id)?;
        self.by_latest_start
            .remove(&(request.latest_start_ms, request_id));
        if let Some(queue) = self.organisations.get_mut(&request.organisation) {
            queue.by_deadline.remove(&(request.deadline_ms, request_id));
        }
        Some(request)
    }

    /// Removes and returns a request that can no longer complete before its
    /// deadline.
    pub(crate) fn pop_late(&mut self, now_ms: u64) -> Option<queued_request::QueuedRequest> {
        let &(latest_start_ms, request_id) = self.by_latest_start.first()?;
        (latest_start_ms < now_ms).then(|| self.remove(request_id))?
    }

    /// Removes and returns the request with the latest deadline of the
    /// organisation with the most queued requests, if that organisation has at
    /// least two more than `organisation`.
    pub(crate) fn pop_from_largest(
        &mut self,
        organisation: &str,
    ) -> Option<queued_request::QueuedRequest> {
        let own = self.queued_by(organisation);
        let queues = self.organisations.values();
        let largest = queues.max_by_key(|queue| queue.by_deadline.len())?;
        if largest.by_deadline.len() < own + 2 {
            return None;
        }
        let &(_, request_id) = largest.by_deadline.last()?;
        self.remove(request_id)
    }

    /// Returns the earliest of the latest useful start times of all requests,
    /// in milliseconds.
    pub(crate) fn earliest_latest_start_ms(&self) -> Option<u64> {
        let first = self.by_latest_start.first();
        first.map(|&(latest_start_ms, _)| latest_start_ms)
    }

    fn organisation(&mut self, organisation: &str) -> &mut OrganisationQueue {
        let virtual_time_ms = self.virtual_time_ms;
        if !self.organisations.contains_key(organisation) {
            let queue = OrganisationQueue {
                next_virtual_start_ms: virtual_time_ms,
                ..OrganisationQueue::default()
            };
            self.organisations.insert(organisation.to_owned(), queue);
        }
        let queue = &mut self.organisations[organisation];
        if queue.by_deadline.is_empty() {
            queue.next_virtual_start_ms = queue.next_virtual_start_ms.max(virtual_time_ms);
        }
        queue
    }
}
