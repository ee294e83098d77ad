//! Retry budget of one VM for one service.

use std::collections;

use crate::gateway;

/// Width of a bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 250;
const MILLI_PER_RETRY: u64 = 1_000;

/// Retry budget of one VM for one service in a sliding window: a ratio of the VM's own
/// requests plus its share of the fleet's retry slack.
///
/// Load pattern: all servers of a service refuse half of their requests for
/// several seconds, and all VMs want to retry at once. Meanwhile, VMs are killed and
/// start again, and callers move to other VMs. The retries of the fleet must stay within
/// its budget although the VMs do not coordinate them. Attempts that a server refuses
/// also count.
///
/// In any window, a process makes no more retries than its share plus a ratio of its
/// requests in this window. Requests before the window pay for no more than the share.
/// The next process of a killed VM does not know of the VM's retries, so it has no share
/// in its first window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio_permille: u64,
    buckets: collections::VecDeque<Bucket>,
    counts: gateway::RetryCounts,
    logged_counts: gateway::RetryCounts,
    /// Retries that requests have paid for and that were not made, in thousandths of a
    /// retry. No more than this VM's share counts.
    saved_milli: u64,
    window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates an empty budget for windows of `window_ms`, with `ratio_permille`
    /// retries per thousand requests.
    #[must_use]
    pub const fn new(window_ms: u64, ratio_permille: u64) -> Self {
        Self {
            ratio_permille,
            buckets: collections::VecDeque::new(),
            counts: gateway::RetryCounts::ZERO,
            logged_counts: gateway::RetryCounts::ZERO,
            saved_milli: 0,
            window_ms,
        }
    }

    /// Counts an attempt that is sent to a server.
    pub const fn record_arrival(&mut self) {
        self.counts.arrivals_count += 1;
    }

    /// Takes back an attempt of which no byte was sent after all.
    pub const fn take_back_arrival(&mut self) {
        self.counts.arrivals_count = self.counts.arrivals_count.saturating_sub(1);
    }

    /// Returns the counts since the start if there were retries, made or denied, since
    /// the last call that returned counts.
    pub fn take_new_counts(&mut self) -> Option<gateway::RetryCounts> {
        if !self.counts.has_retries_since(&self.logged_counts) {
            return None;
        }
        self.logged_counts = self.counts;
        Some(self.counts)
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).requests += 1;
        self.counts.requests_count += 1;
        self.saved_milli = self.saved_milli.saturating_add(self.ratio_permille);
    }

    /// Counts a retry and returns `true` if the budget allows it.
    ///
    /// `slack_milli` is this VM's share of the retry slack, in thousandths of a
    /// retry.
    #[must_use]
    pub fn try_retry(&mut self, now_ms: u64, slack_milli: u64) -> bool {
        self.current_bucket(now_ms);
        let requests = self
            .buckets
            .iter()
            .map(|bucket| bucket.requests)
            .sum::<u64>();
        let retries = self
            .buckets
            .iter()
            .map(|bucket| bucket.retries)
            .sum::<u64>();
        let allowed_milli = requests * self.ratio_permille + slack_milli;
        // A VM without a share can still save one retry.
        let saved_milli = self.saved_milli.min(slack_milli.max(MILLI_PER_RETRY));
        let slack_left_milli = slack_milli.saturating_sub(retries * MILLI_PER_RETRY);
        let saved_milli = saved_milli.max(slack_left_milli);
        if (retries + 1) * MILLI_PER_RETRY > allowed_milli || saved_milli < MILLI_PER_RETRY {
            self.counts.denied_count += 1;
            return false;
        }
        self.current_bucket(now_ms).retries += 1;
        self.counts.retries_count += 1;
        self.saved_milli = saved_milli - MILLI_PER_RETRY;
        true
    }

    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        // A retry must count here for at least as long as in the fleet's window, so
        // a bucket counts until its end has left the window.
        let oldest_ms = now_ms.saturating_sub(self.window_ms + BUCKET_MS);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start_ms < oldest_ms)
        {
            self.buckets.pop_front();
        }
        let start_ms = now_ms - now_ms % BUCKET_MS;
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.start_ms < start_ms)
        {
            self.buckets.push_back(Bucket {
                start_ms,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
