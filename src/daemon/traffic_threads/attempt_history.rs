//! Results of a request's earlier attempts.

use crate::daemon;
use crate::daemon::traffic_threads::retry_after;
use crate::verdict;

/// Minimum delay before a retry after a failure that is unrelated to load, in
/// milliseconds.
const FAILURE_RETRY_AFTER_MS: u64 = 250;

/// Results of a request's earlier attempts.
#[derive(Default)]
pub struct AttemptHistory {
    /// Failure reason of the last attempt; `None` before the first failure.
    pub last_reason: Option<verdict::RefusalReason>,
    /// Whether any of the attempts may have run.
    pub may_have_run: bool,
    /// Number of servers to which a connection was established.
    pub reached_server_count: usize,
    /// Reason for the next attempt if it is a retry; `None` once the retry has been
    /// counted.
    pub pending_retry: Option<verdict::RetryReason>,
    /// Ids of the servers that were tried, in order.
    pub tried_servers: Vec<String>,
}

impl AttemptHistory {
    /// Records a failed attempt.
    pub fn record(&mut self, server_id: String, failure: &daemon::AttemptFailure) {
        self.last_reason = Some(failure.reason);
        let is_reached = failure.retry != Some(verdict::RetryReason::ConnectFailed);
        self.reached_server_count += usize::from(is_reached);
        self.may_have_run |= failure.verdict == verdict::RunVerdict::MayHaveRun;
        self.tried_servers.push(server_id);
    }

    /// Returns `refusal` with the verdict "may have run" if an earlier attempt
    /// may have run.
    #[must_use]
    pub const fn apply_to(&self, refusal: verdict::Refusal) -> verdict::Refusal {
        if self.may_have_run {
            verdict::Refusal::may_have_run(refusal.reason, refusal.retry_after_ms)
        } else {
            refusal
        }
    }

    /// Creates the refusal of the request. `verdict` is that of the last attempt;
    /// the refusal's verdict is "may have run" if any attempt may have run.
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
