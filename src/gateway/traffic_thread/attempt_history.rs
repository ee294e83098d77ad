//! What earlier attempts of a request have left.

use crate::gateway;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// What earlier attempts of a request have left.
#[derive(Default)]
pub struct AttemptHistory {
    /// A server's own failure, whole.
    pub failure_response: Option<response::Response>,

    arrivals_count: u32,
    connect_failures_count: u32,
    /// Whether a server was tried only to be seen in use.
    pub has_probed: bool,
    last_failure_reason: Option<verdict::RefusalReason>,
    /// Lifetimes of servers that were tried.
    pub lifetimes: Vec<u64>,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Notes a failed attempt.
    pub fn record(&mut self, choice: &gateway::Choice, failure: attempt::AttemptFailure) {
        self.lifetimes.push(choice.lifetime);
        self.has_probed |= choice.is_probe;
        self.last_failure_reason = Some(failure.reason);
        match failure.end {
            gateway::AttemptEnd::NotSent => self.connect_failures_count += 1,
            gateway::AttemptEnd::Refused => self.arrivals_count += 1,
            gateway::AttemptEnd::AnsweredFailure | gateway::AttemptEnd::Unanswered => {
                self.arrivals_count += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Gives what further attempts are allowed.
    pub fn retry_room(
        &self,
        shared: &gateway::Shared,
        routed: &routed_request::RoutedRequest<'_>,
    ) -> gateway::RetryRoom {
        let usual_ms = shared.board().mean_run_ms(routed.service);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is a small positive number"
        )]
        let usual_run_ms = usual_ms as u64;
        gateway::RetryRoom {
            arrivals_count: self.arrivals_count,
            connect_failures_count: self.connect_failures_count,
            left_ms: routed.time_left_ms(),
            max_attempts: routed.route.max_attempts.max(1),
            may_repeat: routed.route.kind.may_repeat(),
            usual_run_ms,
        }
    }

    /// Gives a server's own failure if there is one, else the refusal. Once
    /// something may have run, nothing else is said.
    ///
    /// # Errors
    ///
    /// Gives the refusal.
    pub fn final_response(
        &mut self,
        shared: &gateway::Shared,
        routed: &routed_request::RoutedRequest<'_>,
        reason: verdict::RefusalReason,
        retry_after_ms: u64,
    ) -> Result<response::Response, verdict::Refusal> {
        if let Some(response) = self.failure_response.take() {
            return Ok(response);
        }
        let reason = if routed.time_left_ms() == 0 {
            verdict::RefusalReason::DeadlineExceeded
        } else {
            self.last_failure_reason.unwrap_or(reason)
        };
        Err(if self.may_have_run {
            verdict::Refusal::may_have_run(
                reason,
                gateway::jittered_ms(retry_after_ms, shared.draw()),
            )
        } else {
            verdict::Refusal::not_run(reason, retry_after_ms)
        })
    }
}
