//! Decision whether to retry a request after a failed attempt.

use crate::verdict;

/// How a failed attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The server returned a complete error response of its own.
    AnsweredFailure,
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke, or the response is unusable or did not arrive in time.
    Unanswered,
    /// The server reported that it did not run the request.
    Refused,
}

/// State of a request on which the retry decision depends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryContext {
    /// Number of servers that the request has reached.
    pub servers_reached_count: u32,
    /// Number of attempts whose connection could not be established.
    pub connect_failures_count: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: u64,
    /// Maximum number of servers that the request may reach.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Mean run time of the service's requests, in milliseconds.
    pub mean_run_ms: u64,
}

/// Decision whether and how to retry after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Return the final response to the caller.
    GiveUp,
    /// Try another server if the retry budget allows it.
    RetryWithinBudget(verdict::RetryReason),
    /// Try another server without charging the retry budget, because no server has
    /// been reached yet.
    RetryOutsideBudget(verdict::RetryReason),
}

/// Number of failed connections after which the next one ends the request.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Decides what to do with a request after a failed attempt.
///
/// A request that may run only once is retried only if it is certain that the
/// server did not run it. As a first attempt, it may be faster than the mean and is made
/// as long as the caller waits.
#[must_use]
pub fn decide_retry(end: AttemptEnd, context: &RetryContext) -> RetryDecision {
    if context.time_left_ms == 0 {
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
