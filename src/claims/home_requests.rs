//! Handling of attempts at the home.

use crate::claims;
use crate::claims::home;
use crate::claims::home_record;
use crate::claims::incoming_attempt;
use crate::verdict;

impl home::Home {
    pub(super) fn handle_request(
        &mut self,
        attempt: incoming_attempt::IncomingAttempt,
        key: claims::ClaimKey,
    ) {
        let attempt_id = attempt.id;
        if self.attempts.contains(attempt_id) || self.reply_if_not_responsible(attempt_id, &key) {
            return;
        }
        match self.table.get(key.prefix.home_epoch, &key) {
            None => self.handle_unknown_key(attempt, key),
            Some(record)
                if record.may_have_run() && record.is_different_request(attempt.fingerprint) =>
            {
                self.reply_may_have_run(attempt_id, verdict::RefusalReason::KeyReused);
            }
            Some(_) => self.handle_known_key(attempt, &key),
        }
    }

    /// Replies if the key belongs to another incarnation or to an epoch that is
    /// evicted or unknown. Returns whether it replied.
    fn reply_if_not_responsible(&mut self, attempt_id: u64, key: &claims::ClaimKey) -> bool {
        if key.prefix.home != self.identity {
            let reply = claims::HomeReply::AskWitness;
            self.actions
                .push(claims::HomeAction::Reply { attempt_id, reply });
            return true;
        }
        if !self.epochs.retains(key.prefix.home_epoch) {
            self.reply_may_have_run(attempt_id, verdict::RefusalReason::KeyMayHaveRun);
            return true;
        }
        false
    }

    fn handle_unknown_key(
        &mut self,
        attempt: incoming_attempt::IncomingAttempt,
        key: claims::ClaimKey,
    ) {
        let refused = if self.leaving {
            Some(verdict::RefusalReason::Leaving)
        } else if self.epochs.is_closed(key.prefix.home_epoch) {
            Some(verdict::RefusalReason::KeyClosed)
        } else if self.is_full() {
            Some(verdict::RefusalReason::KeyMemoryFull)
        } else if attempt.deadline_ms <= self.now_ms {
            Some(verdict::RefusalReason::DeadlineExceeded)
        } else if self.attempts.count() >= self.config.attempt_limit_requests {
            Some(verdict::RefusalReason::QueueFull)
        } else {
            None
        };
        match refused {
            Some(reason) => {
                self.close_unknown_key(&key);
                self.reply_not_run(attempt.id, &key, reason);
            }
            None => self.start_claim(attempt, key),
        }
    }

    fn start_claim(&mut self, attempt: incoming_attempt::IncomingAttempt, key: claims::ClaimKey) {
        let claim_due_ms = self.now_ms.saturating_add(self.config.claim_timeout_ms);
        let due_ms = claim_due_ms.min(attempt.deadline_ms);
        self.attempts.add(attempt.id, attempt.deadline_ms, &key);
        self.attempts.start_claim(&key, due_ms);
        let attempts = vec![attempt.id];
        let state = home_record::HomeState::Claiming { attempts, due_ms };
        self.insert(&key, Some(attempt.fingerprint), state);
        let witness = key.prefix.witness;
        let claim = claims::Claim { key };
        self.actions
            .push(claims::HomeAction::SendClaim { claim, witness });
    }

    fn handle_known_key(
        &mut self,
        attempt: incoming_attempt::IncomingAttempt,
        key: &claims::ClaimKey,
    ) {
        let attempt_id = attempt.id;
        let epoch = key.prefix.home_epoch;
        let is_full = self.attempts.count() >= self.config.attempt_limit_requests;
        let Some(record) = self.table.get_mut(epoch, key) else {
            return;
        };
        let is_different_request = record.is_different_request(attempt.fingerprint);
        let refused = if is_different_request {
            Some(verdict::RefusalReason::KeyReused)
        } else if attempt.deadline_ms <= self.now_ms {
            Some(verdict::RefusalReason::DeadlineExceeded)
        } else if is_full {
            Some(verdict::RefusalReason::QueueFull)
        } else {
            None
        };
        match (&mut record.state, refused) {
            (home_record::HomeState::Settled(settled), _) => {
                let settled = settled.clone();
                self.reply_settled(attempt_id, key, &settled, verdict::RefusalReason::KeyClosed);
            }
            (_, Some(reason)) => self.reply_may_have_run(attempt_id, reason),
            (
                home_record::HomeState::Claiming { attempts, .. }
                | home_record::HomeState::Running { attempts },
                None,
            ) => {
                attempts.push(attempt_id);
                self.attempts.add(attempt_id, attempt.deadline_ms, key);
            }
        }
    }

    pub(super) fn handle_refuse(
        &mut self,
        attempt_id: u64,
        key: &claims::ClaimKey,
        refusal: verdict::Refusal,
    ) {
        if self.attempts.contains(attempt_id) || self.reply_if_not_responsible(attempt_id, key) {
            return;
        }
        let record = self.table.get(key.prefix.home_epoch, key);
        if record.is_none() {
            self.close_unknown_key(key);
        }
        // A stored response is not returned, because this event has no
        // fingerprint to compare: the response may be that of a different
        // request.
        if self.is_key_closed(key) {
            self.reply_not_run(attempt_id, key, refusal.reason);
        } else {
            self.reply_may_have_run(attempt_id, refusal.reason);
        }
    }
}
