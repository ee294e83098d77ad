//! When a caller sends a request again, and under which key.

use foxtailwinch::verdict;

use crate::caller;

/// Wait before an attempt that nobody gave a time for, in milliseconds.
const DEFAULT_RETRY_DELAY_MS: u64 = 50;

/// When a caller sends a request again, and under which key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResendRules {
    /// Attempts per request.
    pub attempt_limit: u32,
    /// Whether running the request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

impl ResendRules {
    /// Decides what follows attempt number `attempt` (from 1) of a request.
    ///
    /// `may_have_run_before` tells whether an earlier attempt under the same
    /// key may have run; then a connection that was never made does not free
    /// the key.
    #[must_use]
    pub fn next_step(
        self,
        attempt: u32,
        may_have_run_before: bool,
        outcome: &caller::AttemptOutcome,
    ) -> caller::NextStep {
        if attempt >= self.attempt_limit {
            return caller::NextStep::Finish;
        }
        match outcome {
            caller::AttemptOutcome::Answered
            | caller::AttemptOutcome::Failed { .. }
            | caller::AttemptOutcome::Wrong(_) => caller::NextStep::Finish,
            caller::AttemptOutcome::Broken | caller::AttemptOutcome::TimedOut => {
                self.next_step_if_may_have_run(DEFAULT_RETRY_DELAY_MS)
            }
            caller::AttemptOutcome::Refused {
                retry_after_ms,
                verdict: verdict::RunVerdict::MayHaveRun,
                ..
            } => self.next_step_if_may_have_run(*retry_after_ms),
            caller::AttemptOutcome::Refused {
                retry_after_ms,
                verdict: verdict::RunVerdict::NotRun,
                ..
            } => caller::NextStep::ResendNewKey {
                wait_ms: *retry_after_ms,
            },
            caller::AttemptOutcome::Unreachable if may_have_run_before => {
                self.next_step_if_may_have_run(DEFAULT_RETRY_DELAY_MS)
            }
            caller::AttemptOutcome::Unreachable => caller::NextStep::ResendNewKey {
                wait_ms: DEFAULT_RETRY_DELAY_MS,
            },
        }
    }

    const fn next_step_if_may_have_run(self, wait_ms: u64) -> caller::NextStep {
        if self.keyed {
            caller::NextStep::ResendSameKey { wait_ms }
        } else if self.idempotent {
            caller::NextStep::ResendNewKey { wait_ms }
        } else {
            caller::NextStep::Finish
        }
    }
}
