//! A queue that organisations share evenly.

use std::collections;

use crate::admission::queued_request;

/// Requests in order of deadline, shared evenly between organisations.
///
/// The organisation that has had the least expected run time goes next; of
/// organisations that have had as much, the one with the earliest deadline;
/// within one organisation, the earliest deadline. An organisation that comes
/// back after a pause starts level with the others: it saves up no share.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Queued requests by id.
    by_id: indexmap::IndexMap<u64, queued_request::QueuedRequest>,
    /// Ids by the last time at which each is worth starting.
    by_latest_start: collections::BTreeSet<(u64, u64)>,
    organisations: indexmap::IndexMap<String, OrganisationQueue>,
    /// Share that the organisation served last had had, in milliseconds.
    virtual_time_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    /// Ids by deadline.
    by_deadline: collections::BTreeSet<(u64, u64)>,
    /// Expected run time had so far, in milliseconds.
    next_virtual_start_ms: u64,
}

impl FairQueue {
    /// Gives the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the request waits.
    pub(crate) fn contains(&self, request_id: u64) -> bool {
        self.by_id.contains_key(&request_id)
    }

    /// Gives the number of requests that would go before a new one of the
    /// organisation, at most.
    pub(crate) fn ahead_of(&self, organisation: &str) -> usize {
        let own = self.queued_by(organisation);
        let others = self.organisations.iter();
        let others = others
            .filter(|(name, _)| name.as_str() != organisation)
            .map(|(_, queue)| queue.by_deadline.len().min(own + 1))
            .sum::<usize>();
        own + others
    }

    /// Gives the number of requests of the organisation that wait.
    pub(crate) fn queued_by(&self, organisation: &str) -> usize {
        let queue = self.organisations.get(organisation);
        queue.map_or(0, |queue| queue.by_deadline.len())
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, request: queued_request::QueuedRequest) {
        let queue = self.organisation(&request.organisation);
        queue
            .by_deadline
            .insert((request.deadline_ms, request.request_id));
        self.by_latest_start
            .insert((request.latest_start_ms, request.request_id));
        self.by_id.insert(request.request_id, request);
    }

    /// Takes the request that goes next.
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

    /// Counts a request that the organisation starts, in the queue or past it.
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

    /// Takes a request out.
    pub(crate) fn remove(&mut self, request_id: u64) -> Option<queued_request::QueuedRequest> {
        let request = self.by_id.swap_remove(&request_id)?;
        self.by_latest_start
            .remove(&(request.latest_start_ms, request_id));
        if let Some(queue) = self.organisations.get_mut(&request.organisation) {
            queue.by_deadline.remove(&(request.deadline_ms, request_id));
        }
        Some(request)
    }

    /// Takes a request that can no longer end in time.
    pub(crate) fn pop_late(&mut self, now_ms: u64) -> Option<queued_request::QueuedRequest> {
        let &(latest_start_ms, request_id) = self.by_latest_start.first()?;
        (latest_start_ms < now_ms).then(|| self.remove(request_id))?
    }

    /// Takes the last request of the organisation with the most requests, if
    /// it has at least two more than `organisation`.
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

    /// Gives the last time at which every request is still worth starting.
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
