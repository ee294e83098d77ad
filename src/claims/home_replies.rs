//! Timers, replies and hand-over of the home.

use crate::claims;
use crate::claims::hand_over_builder;
use crate::claims::home;
use crate::claims::home_attempts;
use crate::claims::home_record;
use crate::claims::retry_after;
use crate::verdict;

impl home::Home {
    pub(super) fn run_timers(&mut self) {
        while let Some(due) = self.attempts.pop_due(self.now_ms) {
            match due {
                home_attempts::DueTimer::Attempt(attempt_id) => {
                    self.handle_attempt_deadline(attempt_id);
                }
                home_attempts::DueTimer::Claim(key) => {
                    self.close_claiming_key(&key, verdict::RefusalReason::ClaimDenied);
                }
            }
        }
        for epoch in self.epochs.advance(&self.config, self.now_ms) {
            self.evict(epoch);
        }
    }

    /// Replies to an attempt whose deadline has passed. If no other attempt
    /// waits for the claim of its key, the key is closed.
    fn handle_attempt_deadline(&mut self, attempt_id: u64) {
        let Some(key) = self.attempts.remove(attempt_id) else {
            return;
        };
        let reason = verdict::RefusalReason::DeadlineExceeded;
        if self.detach_attempt(attempt_id, &key) {
            self.close_claiming_key(&key, reason);
            self.reply_not_run(attempt_id, &key, reason);
        } else {
            self.reply_may_have_run(attempt_id, reason);
        }
    }

    /// Evicts the keys of an epoch that is now below the low-water mark.
    fn evict(&mut self, epoch: u64) {
        let evicted = self
            .table
            .evict(epoch, home_record::HomeRecord::response_bytes);
        for (key, record) in evicted {
            let attempts = match record.state {
                home_record::HomeState::Claiming { attempts, due_ms } => {
                    self.attempts.stop_claim(&key, due_ms);
                    attempts
                }
                home_record::HomeState::Running { attempts } => attempts,
                home_record::HomeState::Settled(_) => continue,
            };
            for attempt_id in attempts {
                self.attempts.remove(attempt_id);
                self.reply_may_have_run(attempt_id, verdict::RefusalReason::KeyMayHaveRun);
            }
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.table.key_count() >= self.config.home_limit_keys
            || self.table.size_bytes() >= self.config.home_limit_bytes
    }

    /// Closes a key that is not in the table. If the table is full, closes all
    /// epochs to new keys instead, which takes no memory.
    pub(super) fn close_unknown_key(&mut self, key: &claims::ClaimKey) {
        if self.leaving || self.epochs.is_closed(key.prefix.home_epoch) {
            return;
        }
        if self.is_full() {
            self.epochs.close_all(&self.config, self.now_ms);
            return;
        }
        let closed = home_record::HomeState::Settled(claims::KeyOutcome::Closed);
        self.insert(key, None, closed);
    }

    pub(super) fn insert(
        &mut self,
        key: &claims::ClaimKey,
        fingerprint: Option<u64>,
        state: home_record::HomeState,
    ) {
        let record = home_record::HomeRecord {
            fingerprint,
            run_count: 0,
            state,
        };
        self.table
            .insert(key.prefix.home_epoch, key.clone(), record);
        if key.prefix.home_epoch == self.epochs.current() {
            self.epochs.record_key(self.now_ms);
        }
    }

    pub(super) fn reply_settled(
        &mut self,
        attempt_id: u64,
        key: &claims::ClaimKey,
        outcome: &claims::KeyOutcome,
        reason: verdict::RefusalReason,
    ) {
        match outcome {
            claims::KeyOutcome::Answered(response) => {
                let reply = claims::HomeReply::Answer(response.clone());
                self.actions
                    .push(claims::HomeAction::Reply { attempt_id, reply });
            }
            claims::KeyOutcome::Closed => self.reply_not_run(attempt_id, key, reason),
            claims::KeyOutcome::MayHaveRun => {
                self.reply_may_have_run(attempt_id, verdict::RefusalReason::KeyMayHaveRun);
            }
        }
    }

    pub(super) fn reply_may_have_run(&mut self, attempt_id: u64, reason: verdict::RefusalReason) {
        let retry_after_ms = retry_after::retry_after_ms(&self.config, attempt_id);
        self.reply_refused(
            attempt_id,
            verdict::Refusal::may_have_run(reason, retry_after_ms),
        );
    }

    pub(super) fn reply_not_run(
        &mut self,
        attempt_id: u64,
        key: &claims::ClaimKey,
        reason: verdict::RefusalReason,
    ) {
        assert!(
            self.is_key_closed(key),
            "only a closed key may be reported as not run"
        );
        let retry_after_ms = retry_after::retry_after_ms(&self.config, attempt_id);
        self.reply_refused(
            attempt_id,
            verdict::Refusal::not_run(reason, retry_after_ms),
        );
    }

    pub(super) fn is_key_closed(&self, key: &claims::ClaimKey) -> bool {
        let epoch = key.prefix.home_epoch;
        let is_own_key = key.prefix.home == self.identity && self.epochs.retains(epoch);
        let closed = match self.table.get(epoch, key).map(|record| &record.state) {
            Some(home_record::HomeState::Settled(claims::KeyOutcome::Closed)) => true,
            Some(_) => false,
            None => self.leaving || self.epochs.is_closed(epoch),
        };
        is_own_key && closed
    }

    fn reply_refused(&mut self, attempt_id: u64, refusal: verdict::Refusal) {
        let reply = claims::HomeReply::Refused(refusal);
        self.actions
            .push(claims::HomeAction::Reply { attempt_id, reply });
    }

    /// Stops claiming and hands over every key with a final outcome. Each
    /// remaining key is handed over when its outcome is final.
    pub(super) fn handle_leave(&mut self) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        let mut builder =
            hand_over_builder::HandOverBuilder::new(self.config.hand_over_limit_bytes);
        let groups = self.table.groups();
        for (key, record) in groups.flat_map(|(_, group)| group) {
            if let home_record::HomeState::Settled(settled) = &record.state {
                builder.add(key, settled);
            }
        }
        self.actions.extend(builder.finish());
    }

    pub(super) fn hand_over_settled(&mut self, key: &claims::ClaimKey) {
        let record = self.table.get(key.prefix.home_epoch, key);
        if let (true, Some(home_record::HomeState::Settled(settled))) =
            (self.leaving, record.map(|record| &record.state))
        {
            let mut builder =
                hand_over_builder::HandOverBuilder::new(self.config.hand_over_limit_bytes);
            builder.add(key, settled);
            self.actions.extend(builder.finish());
        }
    }
}
