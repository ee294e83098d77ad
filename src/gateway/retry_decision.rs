//! What happens to a request after an attempt has failed.

use crate::verdict;

/// How an attempt ended that gave no good answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The server's own failure came back whole.
    AnsweredFailure,
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke, the answer is unusable, or none came.
    Unanswered,
    /// The server says that it did not run the request.
    Refused,
}

/// What further attempts are allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryContext {
    /// Servers that the request has reached.
    pub servers_reached_count: u32,
    /// Attempts whose connection could not be made.
    pub connect_failures_count: u32,
    /// Time left until the caller must have its answer, in milliseconds.
    pub left_ms: u64,
    /// Most servers that the request may reach.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Usual run time of the service, in milliseconds.
    pub mean_run_ms: u64,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The caller gets its final answer.
    GiveUp,
    /// Another server is tried if the fleet's retry budget has context.
    RetryWithinBudget(verdict::RetryReason),
    /// Another server is tried; no server has been reached by this attempt.
    RetryOutsideBudget(verdict::RetryReason),
}

/// Connections that are tried before the request is given up.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Gives what happens to a request after an attempt has failed.
///
/// A request that may run once only is sent again only with proof that nothing
/// ran. A try that cannot end in time is not made: it would only take a slot.
#[must_use]
pub fn decide_retry(end: AttemptEnd, context: &RetryContext) -> RetryDecision {
    if context.left_ms < context.mean_run_ms / 2 {
        return RetryDecision::GiveUp;
    }
    if end == AttemptEnd::NotSent {
        let reason = verdict::RetryReason::ConnectFailed;
        return if context.connect_failures_count > MAX_CONNECT_FAILURES {
            RetryDecision::GiveUp
        } else if context.servers_reached_count == 0 {
            RetryDecision::RetryOutsideBudget(reason)
        } else {
            RetryDecision::RetryWithinBudget(reason)
        };
    }
    if context.servers_reached_count >= context.max_attempts {
        return RetryDecision::GiveUp;
    }
    match end {
        AttemptEnd::Refused => RetryDecision::RetryWithinBudget(verdict::RetryReason::ServerShed),
        AttemptEnd::AnsweredFailure if context.may_repeat => {
            RetryDecision::RetryWithinBudget(verdict::RetryReason::IdempotentServerFailure)
        }
        AttemptEnd::Unanswered if context.may_repeat => {
            RetryDecision::RetryWithinBudget(verdict::RetryReason::IdempotentConnectionLost)
        }
        _ => RetryDecision::GiveUp,
    }
}
