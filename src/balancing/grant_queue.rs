//! Queue of requests for slots.

use std::collections;

use crate::balancing::grant_request;

/// Key of a request: the identifier of its entry VM and its request id on that
/// VM.
pub(crate) type RequestKey = (String, u64);

/// Queue of requests for slots, in order of their latest useful start time.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantQueue {
    latest_starts_ms: indexmap::IndexMap<RequestKey, u64>,
    requests: collections::BTreeMap<(u64, RequestKey), grant_request::GrantRequest>,
}

impl GrantQueue {
    /// Returns the number of requests that precede a new request with this
    /// latest start time.
    pub(crate) fn ahead_of(&self, latest_start_ms: u64) -> usize {
        let starts = self.requests.keys();
        let starts = starts.map(|(latest_start_ms, _)| *latest_start_ms);
        starts
            .take_while(|&start_ms| start_ms <= latest_start_ms)
            .count()
    }

    /// Returns whether the request is queued.
    pub(crate) fn contains(&self, key: &RequestKey) -> bool {
        self.latest_starts_ms.contains_key(key)
    }

    /// Returns the earliest of the latest useful start times of all requests,
    /// in milliseconds.
    pub(crate) fn earliest_latest_start_ms(&self) -> Option<u64> {
        let first = self.requests.first_key_value();
        first.map(|((latest_start_ms, _), _)| *latest_start_ms)
    }

    /// Returns the requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestKey, &grant_request::GrantRequest)> {
        self.requests
            .iter()
            .map(|((_, key), request)| (key, request))
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes and returns the request with the latest start time.
    pub(crate) fn pop_last(&mut self) -> Option<(RequestKey, grant_request::GrantRequest)> {
        let ((_, key), request) = self.requests.pop_last()?;
        self.latest_starts_ms.swap_remove(&key);
        Some((key, request))
    }

    /// Removes and returns a request that can no longer complete before its
    /// deadline.
    pub(crate) fn pop_late(
        &mut self,
        now_ms: u64,
    ) -> Option<(RequestKey, grant_request::GrantRequest)> {
        if self.earliest_latest_start_ms()? >= now_ms {
            return None;
        }
        let ((_, key), request) = self.requests.pop_first()?;
        self.latest_starts_ms.swap_remove(&key);
        Some((key, request))
    }

    /// Adds a request that is not queued yet.
    pub(crate) fn push(&mut self, key: RequestKey, request: grant_request::GrantRequest) {
        self.latest_starts_ms
            .insert(key.clone(), request.latest_start_ms);
        self.requests
            .insert((request.latest_start_ms, key), request);
    }

    /// Removes and returns the request with this key.
    pub(crate) fn remove(&mut self, key: &RequestKey) -> Option<grant_request::GrantRequest> {
        let latest_start_ms = self.latest_starts_ms.swap_remove(key)?;
        self.requests.remove(&(latest_start_ms, key.clone()))
    }
}
