//! What earlier attempts of a request have left.

use crate::gateway;
use crate::gateway::traffic_thread::answer;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::work;
use crate::verdict;

/// What earlier attempts of a request have left.
#[derive(Default)]
pub struct Tried {
    /// A server's own failure, whole.
    pub answer: Option<answer::Answer>,

    arrivals_count: u32,
    connect_failures_count: u32,
    /// Whether a server was tried only to be seen in use.
    pub has_probed: bool,
    last_reason: Option<verdict::RefusalReason>,
    /// Incarnations of servers that were tried.
    pub incarnations: Vec<u64>,
    may_have_run: bool,
}

impl Tried {
    /// Notes a failed attempt.
    pub fn note(&mut self, choice: &gateway::Choice, failure: attempt::AttemptFailure) {
        self.incarnations.push(choice.incarnation);
        self.has_probed |= choice.is_probe;
        self.last_reason = Some(failure.reason);
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
    pub fn room(&self, shared: &gateway::Shared, work: &work::Work<'_>) -> gateway::RetryContext {
        let usual_ms = shared.backend_pool().mean_run_ms(work.service);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is a small positive number"
        )]
        let mean_run_ms = usual_ms as u64;
        gateway::RetryContext {
            servers_reached_count: self.arrivals_count,
            connect_failures_count: self.connect_failures_count,
            left_ms: work.left_ms(),
            max_attempts: work.route.max_attempts.max(1),
            may_repeat: work.route.kind.may_repeat(),
            mean_run_ms,
        }
    }

    /// Gives a server's own failure if there is one, else the refusal. Once
    /// something may have run, nothing else is said.
    ///
    /// # Errors
    ///
    /// Gives the refusal.
    pub fn give_up(
        &mut self,
        shared: &gateway::Shared,
        work: &work::Work<'_>,
        reason: verdict::RefusalReason,
        retry_ms: u64,
    ) -> Result<answer::Answer, verdict::Refusal> {
        if let Some(answered) = self.answer.take() {
            return Ok(answered);
        }
        let reason = if work.left_ms() == 0 {
            verdict::RefusalReason::DeadlineExceeded
        } else {
            self.last_reason.unwrap_or(reason)
        };
        Err(if self.may_have_run {
            verdict::Refusal::may_have_run(
                reason,
                gateway::jittered_ms(retry_ms, shared.random_value()),
            )
        } else {
            verdict::Refusal::not_run(reason, retry_ms)
        })
    }
}
