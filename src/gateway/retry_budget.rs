//! How many second attempts one VM may make for one service.

use std::collections;

/// Width of one step of the window, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Fractions of a retry.
const MILLI_PER_RETRY: u64 = 1_000;

/// How many second attempts one VM may make for one service in a sliding
/// window: a part of its own requests and its share of the fleet's slack.
///
/// Load pattern: all servers of a service refuse half of their requests for
/// several seconds. Every VM then wants to send again at once; the sum over
/// the fleet must stay within its budget although the VMs do not ask each
/// other. Refused arrivals count as well.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio_permille: u64,
    buckets: collections::VecDeque<Bucket>,
    window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Gives a ledger with nothing in it.
    #[must_use]
    pub const fn new(window_ms: u64, ratio_permille: u64) -> Self {
        Self {
            ratio_permille,
            buckets: collections::VecDeque::new(),
            window_ms,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).requests += 1;
    }

    /// Counts a second attempt if the budget, with `slack_milli` thousandths
    /// of a retry besides the part of the requests, has room for it.
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
        if (retries + 1) * MILLI_PER_RETRY > allowed_milli {
            return false;
        }
        self.current_bucket(now_ms).retries += 1;
        true
    }

    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        // A retry must leave the window later than the budget's own window
        // forgets it, so a step counts until its end has left.
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
