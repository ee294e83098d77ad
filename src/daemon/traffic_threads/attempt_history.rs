//! What earlier attempts of a request have left.

use crate::daemon;
use crate::daemon::traffic_threads::retry_after;
use crate::verdict;

/// When to come back after a failure that says nothing about load, in
/// milliseconds.
const FAILURE_RETRY_AFTER_MS: u64 = 250;

/// What earlier attempts of a request have left.
#[derive(Default)]
pub struct AttemptHistory {
    /// Why the last of them failed.
    pub last_reason: Option<verdict::RefusalReason>,
    /// Whether one of them may have run.
    pub may_have_run: bool,
    /// Servers that were sent something.
    pub reached_server_count: usize,
    /// Why the next attempt is made, until it is counted.
    pub pending_retry: Option<verdict::RetryReason>,
    /// Servers that were tried, in order.
    pub tried_servers: Vec<String>,
}

impl AttemptHistory {
    /// Notes a failed attempt.
    pub fn record(&mut self, server_id: String, failure: &daemon::AttemptFailure) {
        self.last_reason = Some(failure.reason);
        let is_reached = failure.retry != Some(verdict::RetryReason::ConnectFailed);
        self.reached_server_count += usize::from(is_reached);
        self.may_have_run |= failure.verdict == verdict::RunVerdict::MayHaveRun;
        self.tried_servers.push(server_id);
    }

    /// Gives the refusal as it is after these attempts.
    #[must_use]
    pub const fn apply_to(&self, refusal: verdict::Refusal) -> verdict::Refusal {
        if self.may_have_run {
            verdict::Refusal::may_have_run(refusal.reason, refusal.retry_after_ms)
        } else {
            refusal
        }
    }

    /// Gives the refusal after these attempts: once one of them may have run,
    /// the request may have run.
    #[must_use]
    pub fn refusal(
        &self,
        reason: verdict::RefusalReason,
        verdict: verdict::RunVerdict,
    ) -> verdict::Refusal {
        let retry_after_ms = retry_after::jittered_ms(FAILURE_RETRY_AFTER_MS);
        if self.may_have_run || verdict == verdict::RunVerdict::MayHaveRun {
            verdict::Refusal::may_have_run(reason, retry_after_ms)
        } else {
            verdict::Refusal::not_run(reason, retry_after_ms)
        }
    }
}
