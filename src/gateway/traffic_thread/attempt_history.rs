//! Results of a request's earlier attempts.

use crate::gateway;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// Results of a request's earlier attempts.
#[derive(Default)]
pub struct AttemptHistory {
    /// Last response of a server with a status of 500 or above; `None` if there was
    /// none.
    pub failure_response: Option<response::Response>,
    servers_reached_count: u32,
    /// Number of attempts whose connection could not be established.
    pub connect_failures_count: u32,
    /// Whether other entry VMs have declined the request.
    pub has_been_declined: bool,
    /// Whether the request was used as a probe of a suspected server.
    pub has_probed: bool,
    last_failure_reason: Option<verdict::RefusalReason>,
    /// Incarnations of the servers that were tried.
    pub incarnations: Vec<u64>,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Records a failed attempt.
    pub fn record(&mut self, choice: &gateway::Choice, failure: attempt::AttemptFailure) {
        self.incarnations.push(choice.incarnation);
        self.has_probed |= choice.is_probe;
        // A request that a server was sent must not look like one that reached none: the
        // VM that relays it would send it again without charging its retry budget.
        let is_not_sent = failure.end == gateway::AttemptEnd::NotSent;
        if !is_not_sent || self.servers_reached_count == 0 {
            self.last_failure_reason = Some(failure.reason);
        }
        match failure.end {
            gateway::AttemptEnd::NotSent => self.connect_failures_count += 1,
            gateway::AttemptEnd::Refused => self.servers_reached_count += 1,
            gateway::AttemptEnd::AnsweredFailure | gateway::AttemptEnd::Unanswered => {
                self.servers_reached_count += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns the number of servers that the request may still reach.
    pub fn attempts_left(&self, routed: &routed_request::RoutedRequest<'_>) -> u32 {
        let max_attempts = routed.max_attempts();
        max_attempts.saturating_sub(self.servers_reached_count)
    }

    /// Returns the state of the request on which the retry decision depends.
    pub fn retry_context(
        &self,
        shared: &gateway::Shared,
        routed: &routed_request::RoutedRequest<'_>,
    ) -> gateway::RetryContext {
        gateway::RetryContext {
            servers_reached_count: self.servers_reached_count,
            connect_failures_count: self.connect_failures_count,
            time_left_ms: routed.time_left_ms(),
            max_attempts: routed.max_attempts(),
            may_repeat: routed.route.kind.may_repeat(),
            mean_run_ms: shared.mean_run_ms(routed.service),
        }
    }

    /// Returns the final response to a request that is refused before a further attempt.
    ///
    /// # Errors
    ///
    /// Returns `refusal` if the request has not run, and otherwise as
    /// [`Self::final_response`] does.
    pub fn refuse(
        &mut self,
        shared: &gateway::Shared,
        routed: &routed_request::RoutedRequest<'_>,
        refusal: verdict::Refusal,
    ) -> Result<response::Response, verdict::Refusal> {
        if self.may_have_run {
            return self.final_response(shared, routed, refusal.reason, refusal.retry_after_ms);
        }
        Err(refusal)
    }

    /// Returns the stored failure response of a server, if there is one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no failure response is stored. Its verdict is that the
    /// request may have run if an attempt has ended without proof that it did not.
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
                gateway::jittered_ms(retry_after_ms, shared.random_value()),
            )
        } else {
            verdict::Refusal::not_run(reason, retry_after_ms)
        })
    }
}
