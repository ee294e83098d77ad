//! The entry: forwards each attempt to the home, then sends a seal to the
//! witness if the home does not reply.

use std::collections;
use std::fmt;

use crate::claims;
use crate::claims::retry_after;
use crate::configs;
use crate::state_machine;
use crate::verdict;

/// Attempts of keyed requests on a VM that is not their home.
///
/// Replies "not run" only if the home or the witness reported it.
#[derive(Clone)]
pub struct Entry {
    attempts: indexmap::IndexMap<u64, Attempt>,
    config: configs::claims::ClaimsConfig,
    timers: collections::BTreeSet<(u64, u64)>,
}

#[derive(Clone, Debug)]
struct Attempt {
    deadline_ms: u64,
    due_ms: u64,
    fingerprint: u64,
    key: claims::ClaimKey,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    WaitingForHome,
    WaitingForWitness,
}

impl Entry {
    /// Creates the entry of a VM that has just started.
    #[must_use]
    pub fn new(config: &configs::claims::ClaimsConfig) -> Self {
        Self {
            attempts: indexmap::IndexMap::new(),
            config: config.clone(),
            timers: collections::BTreeSet::new(),
        }
    }

    /// Returns when the next [`claims::EntryEvent::Tick`] is due; `None` if
    /// no attempt is waiting.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        self.timers.first().map(|(due_ms, _)| *due_ms)
    }

    fn handle_request(
        &mut self,
        now_ms: u64,
        attempt_id: u64,
        mut attempt: Attempt,
    ) -> Option<claims::EntryAction> {
        if self.attempts.contains_key(&attempt_id) {
            return None;
        }
        if attempt.deadline_ms <= now_ms {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return Some(self.reply_may_have_run(attempt_id, reason));
        }
        if self.attempts.len() >= self.config.attempt_limit_requests {
            let reason = verdict::RefusalReason::QueueFull;
            return Some(self.reply_may_have_run(attempt_id, reason));
        }
        let remaining_ms = attempt.deadline_ms - now_ms;
        attempt.due_ms = attempt.deadline_ms - self.config.seal_timeout_ms.min(remaining_ms / 2);
        let key = attempt.key.clone();
        self.timers.insert((attempt.due_ms, attempt_id));
        self.attempts.insert(attempt_id, attempt);
        Some(claims::EntryAction::ForwardToHome { attempt_id, key })
    }

    fn handle_home_reply(
        &mut self,
        attempt_id: u64,
        reply: claims::EntryHomeReply,
    ) -> Option<claims::EntryAction> {
        let reply = match reply {
            claims::EntryHomeReply::AskWitness => return self.send_seal(attempt_id),
            claims::EntryHomeReply::Answer(response) => claims::EntryReply::Answer(response),
            claims::EntryHomeReply::Refused(refusal) => claims::EntryReply::Refused(refusal),
            claims::EntryHomeReply::AnswerStreaming => {
                self.remove(attempt_id)?;
                return None;
            }
        };
        self.remove(attempt_id)?;
        Some(claims::EntryAction::Reply { attempt_id, reply })
    }

    /// Sends the seal to the witness, unless it has already been sent.
    fn send_seal(&mut self, attempt_id: u64) -> Option<claims::EntryAction> {
        let attempt = self.attempts.get_mut(&attempt_id)?;
        if attempt.phase == Phase::WaitingForWitness {
            return None;
        }
        attempt.phase = Phase::WaitingForWitness;
        self.timers.remove(&(attempt.due_ms, attempt_id));
        attempt.due_ms = attempt.deadline_ms;
        self.timers.insert((attempt.due_ms, attempt_id));
        let key = attempt.key.clone();
        let witness = key.prefix.witness;
        let seal = claims::Seal { key };
        Some(claims::EntryAction::Seal {
            attempt_id,
            seal,
            witness,
        })
    }

    fn handle_seal_reply(
        &mut self,
        attempt_id: u64,
        reply: claims::SealReply,
    ) -> Option<claims::EntryAction> {
        let attempt = self.remove(attempt_id)?;
        let retry_after_ms = retry_after::retry_after_ms(&self.config, attempt_id);
        let reply = match reply {
            claims::SealReply::Answer(response)
                if response.request_fingerprint == attempt.fingerprint =>
            {
                claims::EntryReply::Answer(response)
            }
            claims::SealReply::Answer(_) => {
                let reason = verdict::RefusalReason::KeyReused;
                return Some(self.reply_may_have_run(attempt_id, reason));
            }
            claims::SealReply::MayHaveRun => {
                let reason = verdict::RefusalReason::KeyMayHaveRun;
                return Some(self.reply_may_have_run(attempt_id, reason));
            }
            claims::SealReply::NotRun => claims::EntryReply::Refused(verdict::Refusal::not_run(
                verdict::RefusalReason::KeyClosed,
                retry_after_ms,
            )),
        };
        Some(claims::EntryAction::Reply { attempt_id, reply })
    }

    fn handle_seal_failure(&mut self, attempt_id: u64) -> Option<claims::EntryAction> {
        self.remove(attempt_id)?;
        Some(self.reply_may_have_run(attempt_id, verdict::RefusalReason::KeyMayHaveRun))
    }

    fn run_timers(&mut self, now_ms: u64) -> Vec<claims::EntryAction> {
        let mut actions = Vec::new();
        while let Some((due_ms, attempt_id)) = self.timers.first().copied() {
            if due_ms > now_ms {
                break;
            }
            let deadline_passed = self
                .attempts
                .get(&attempt_id)
                .is_none_or(|attempt| attempt.deadline_ms <= now_ms);
            if deadline_passed {
                self.remove(attempt_id);
                let reason = verdict::RefusalReason::DeadlineExceeded;
                actions.push(self.reply_may_have_run(attempt_id, reason));
            } else {
                actions.extend(self.send_seal(attempt_id));
            }
        }
        actions
    }

    fn remove(&mut self, attempt_id: u64) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&attempt_id)?;
        self.timers.remove(&(attempt.due_ms, attempt_id));
        Some(attempt)
    }

    fn reply_may_have_run(
        &self,
        attempt_id: u64,
        reason: verdict::RefusalReason,
    ) -> claims::EntryAction {
        let retry_after_ms = retry_after::retry_after_ms(&self.config, attempt_id);
        let refusal = verdict::Refusal::may_have_run(reason, retry_after_ms);
        let reply = claims::EntryReply::Refused(refusal);
        claims::EntryAction::Reply { attempt_id, reply }
    }
}

impl fmt::Debug for Entry {
    /// Formats the state without the settings.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Entry")
            .field("attempts", &self.attempts)
            .field("timers", &self.timers)
            .finish_non_exhaustive()
    }
}

impl state_machine::StateMachine for Entry {
    type Action = claims::EntryAction;
    type Event = claims::EntryEvent;

    fn handle(&mut self, now_ms: u64, event: claims::EntryEvent) -> Vec<claims::EntryAction> {
        let mut actions = self.run_timers(now_ms);
        let action = match event {
            claims::EntryEvent::HomeFailed { attempt_id } => self.send_seal(attempt_id),
            claims::EntryEvent::HomeReplied { attempt_id, reply } => {
                self.handle_home_reply(attempt_id, reply)
            }
            claims::EntryEvent::Request {
                attempt_id,
                deadline_ms,
                fingerprint,
                key,
            } => {
                let attempt = Attempt {
                    deadline_ms,
                    due_ms: deadline_ms,
                    fingerprint,
                    key,
                    phase: Phase::WaitingForHome,
                };
                self.handle_request(now_ms, attempt_id, attempt)
            }
            claims::EntryEvent::SealFailed { attempt_id } => self.handle_seal_failure(attempt_id),
            claims::EntryEvent::SealReplied { attempt_id, reply } => {
                self.handle_seal_reply(attempt_id, reply)
            }
            claims::EntryEvent::Tick => None,
        };
        actions.extend(action);
        actions
    }
}
