//! How many second attempts one VM may make for one service.

use std::collections;

/// Width of one step of the window, in milliseconds.
const STEP_MS: u64 = 250;
/// Fractions of a retry.
const MILLI: u64 = 1_000;

/// How many second attempts one VM may make for one service in a sliding
/// window: a part of its own requests and its share of the fleet's slack.
///
/// Load pattern: all servers of a service refuse half of their requests for
/// several seconds. Every VM then wants to send again at once; the sum over
/// the fleet must stay within its budget although the VMs do not ask each
/// other. Refused arrivals count as well.
#[derive(Clone, Debug)]
pub struct RetryLedger {
    ratio_permille: u64,
    steps: collections::VecDeque<Step>,
    window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    began_ms: u64,
    requests: u64,
    retries: u64,
}

impl RetryLedger {
    /// Gives a ledger with nothing in it.
    #[must_use]
    pub const fn new(window_ms: u64, ratio_permille: u64) -> Self {
        Self {
            ratio_permille,
            steps: collections::VecDeque::new(),
            window_ms,
        }
    }

    /// Counts the first attempt of a request.
    pub fn note_request(&mut self, now_ms: u64) {
        self.step(now_ms).requests += 1;
    }

    /// Counts a second attempt if the budget, with `slack_milli` thousandths
    /// of a retry besides the part of the requests, has room for it.
    #[must_use]
    pub fn try_retry(&mut self, now_ms: u64, slack_milli: u64) -> bool {
        self.step(now_ms);
        let requests = self.steps.iter().map(|step| step.requests).sum::<u64>();
        let retries = self.steps.iter().map(|step| step.retries).sum::<u64>();
        let allowed_milli = requests * self.ratio_permille + slack_milli;
        if (retries + 1) * MILLI > allowed_milli {
            return false;
        }
        self.step(now_ms).retries += 1;
        true
    }

    fn step(&mut self, now_ms: u64) -> &mut Step {
        // A retry must leave the window later than the budget's own window
        // forgets it, so a step counts until its end has left.
        let oldest_ms = now_ms.saturating_sub(self.window_ms + STEP_MS);
        while self
            .steps
            .front()
            .is_some_and(|step| step.began_ms < oldest_ms)
        {
            self.steps.pop_front();
        }
        let began_ms = now_ms - now_ms % STEP_MS;
        if self
            .steps
            .back()
            .is_none_or(|step| step.began_ms < began_ms)
        {
            self.steps.push_back(Step {
                began_ms,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
