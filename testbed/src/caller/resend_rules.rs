//! Rules for resending a request and for the key of the resend.

use foxtailwinch::verdict;

use crate::caller;

/// Delay before a resend for which the fleet gave no time, in milliseconds.
const DEFAULT_RETRY_DELAY_MS: u64 = 50;

/// Rules for resending a request and for the key of the resend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResendRules {
    /// Maximum number of attempts per request.
    pub attempt_limit: u32,
    /// Whether a second run of the request has no further effect.
    pub idempotent: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

impl ResendRules {
    /// Returns the next step after attempt number `attempt` (from 1) of a
    /// request.
    ///
    /// `may_have_run_before` is `true` if an earlier attempt under the same key
    /// may have run. The key is then kept even if attempt `attempt` could not
    /// connect.
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
