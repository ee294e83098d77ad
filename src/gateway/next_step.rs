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
pub struct RetryRoom {
    /// Servers that the request has reached.
    pub arrivals_count: u32,
    /// Attempts whose connection could not be made.
    pub connect_failures_count: u32,
    /// Time left until the caller must have its answer, in milliseconds.
    pub left_ms: u64,
    /// Most servers that the request may reach.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Usual run time of the service, in milliseconds.
    pub usual_run_ms: u64,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// The caller gets its final answer.
    GiveUp,
    /// Another server is tried if the fleet's retry budget has room.
    RetryWithinBudget(verdict::RetryReason),
    /// Another server is tried; no server has been reached by this attempt.
    RetryFreely(verdict::RetryReason),
}

/// Connections that are tried before the request is given up.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Gives what happens to a request after an attempt has failed.
///
/// A request that may run once only is sent again only with proof that nothing
/// ran. A try that cannot end in time is not made: it would only take a slot.
#[must_use]
pub fn next_step(end: AttemptEnd, room: &RetryRoom) -> NextStep {
    if room.left_ms < room.usual_run_ms / 2 {
        return NextStep::GiveUp;
    }
    if end == AttemptEnd::NotSent {
        let reason = verdict::RetryReason::ConnectFailed;
        return if room.connect_failures_count > MAX_CONNECT_FAILURES {
            NextStep::GiveUp
        } else if room.arrivals_count == 0 {
            NextStep::RetryFreely(reason)
        } else {
            NextStep::RetryWithinBudget(reason)
        };
    }
    if room.arrivals_count >= room.max_attempts {
        return NextStep::GiveUp;
    }
    match end {
        AttemptEnd::Refused => NextStep::RetryWithinBudget(verdict::RetryReason::ServerShed),
        AttemptEnd::AnsweredFailure if room.may_repeat => {
            NextStep::RetryWithinBudget(verdict::RetryReason::IdempotentServerFailure)
        }
        AttemptEnd::Unanswered if room.may_repeat => {
            NextStep::RetryWithinBudget(verdict::RetryReason::IdempotentConnectionLost)
        }
        _ => NextStep::GiveUp,
    }
}
