//! The home: the only VM that may run a key.

use std::fmt;

use crate::claims;
use crate::claims::epoch_counter;
use crate::claims::finished_run;
use crate::claims::grouped_table;
use crate::claims::home_attempts;
use crate::claims::home_record;
use crate::claims::incoming_attempt;
use crate::configs;
use crate::state_machine;
use crate::verdict;

/// Home of every key whose prefix names this incarnation of this VM.
///
/// Runs a key at most once, after the witness has granted the claim. Replies
/// "not run" only for a closed key, and a closed key never runs.
#[derive(Clone)]
pub struct Home {
    pub(super) actions: Vec<claims::HomeAction>,
    pub(super) attempts: home_attempts::HomeAttempts,
    pub(super) config: configs::claims::ClaimsConfig,
    pub(super) epochs: epoch_counter::EpochCounter,
    pub(super) identity: claims::VmIdentity,
    pub(super) leaving: bool,
    pub(super) now_ms: u64,
    pub(super) table: grouped_table::GroupedTable<u64, home_record::HomeRecord>,
}

impl Home {
    /// Creates the home of a VM that has just started.
    #[must_use]
    pub fn new(config: &configs::claims::ClaimsConfig, identity: claims::VmIdentity) -> Self {
        Self {
            actions: Vec::new(),
            attempts: home_attempts::HomeAttempts::default(),
            config: config.clone(),
            epochs: epoch_counter::EpochCounter::new(),
            identity,
            leaving: false,
            now_ms: 0,
            table: grouped_table::GroupedTable::new(),
        }
    }

    /// Returns the epoch in new prefixes.
    #[must_use]
    pub const fn current_epoch(&self) -> u64 {
        self.epochs.current()
    }

    /// Returns a prefix with this VM as home, for callers to use in their keys.
    #[must_use]
    pub const fn prefix_for(&self, witness: claims::VmIdentity) -> claims::KeyPrefix {
        claims::KeyPrefix {
            home: self.identity,
            home_epoch: self.epochs.current(),
            witness,
        }
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub const fn key_count(&self) -> usize {
        self.table.key_count()
    }

    /// Returns the estimated memory of the stored keys and responses.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.table.size_bytes()
    }

    /// Returns when the next [`claims::HomeEvent::Tick`] is due; `None` if
    /// no timer is set.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let epochs_ms = self.epochs.next_wakeup_ms(&self.config);
        let attempts_ms = self.attempts.next_due_ms();
        epochs_ms.into_iter().chain(attempts_ms).min()
    }

    fn handle_claim_reply(&mut self, key: &claims::ClaimKey, reply: claims::ClaimReply) {
        match reply {
            claims::ClaimReply::Denied => {
                self.close_claiming_key(key, verdict::RefusalReason::ClaimDenied);
            }
            claims::ClaimReply::Granted => self.start_run(key),
        }
    }

    fn start_run(&mut self, key: &claims::ClaimKey) {
        let record = self.table.get_mut(key.prefix.home_epoch, key);
        let Some(record) = record else { return };
        let home_record::HomeState::Claiming { attempts, due_ms } = &mut record.state else {
            return; // The grant is late or a duplicate.
        };
        let mut attempts = std::mem::take(attempts);
        let due_ms = *due_ms;
        assert!(!attempts.is_empty(), "a claim has no waiting attempt");
        assert_eq!(record.run_count, 0, "the key has already run");
        record.run_count += 1;
        let attempt_id = attempts.remove(0);
        record.state = home_record::HomeState::Running { attempts };
        self.attempts.stop_claim(key, due_ms);
        self.attempts.remove(attempt_id);
        let key = key.clone();
        self.actions
            .push(claims::HomeAction::Run { attempt_id, key });
    }

    /// Closes a key whose claim is pending, and refuses its attempts as not
    /// run.
    pub(super) fn close_claiming_key(
        &mut self,
        key: &claims::ClaimKey,
        reason: verdict::RefusalReason,
    ) {
        let record = self.table.get_mut(key.prefix.home_epoch, key);
        let Some(record) = record else { return };
        let home_record::HomeState::Claiming { attempts, due_ms } = &mut record.state else {
            return;
        };
        let attempts = std::mem::take(attempts);
        let due_ms = *due_ms;
        record.state = home_record::HomeState::Settled(claims::KeyOutcome::Closed);
        self.attempts.stop_claim(key, due_ms);
        for attempt_id in attempts {
            self.attempts.remove(attempt_id);
            self.reply_not_run(attempt_id, key, reason);
        }
        self.hand_over_settled(key);
    }

    fn handle_finished(&mut self, key: &claims::ClaimKey, outcome: claims::RunOutcome) {
        let fits_bytes = self
            .config
            .home_limit_bytes
            .saturating_sub(self.table.size_bytes());
        let limit_bytes = self.config.answer_limit_bytes.min(fits_bytes);
        let record = self.table.get_mut(key.prefix.home_epoch, key);
        let Some(record) = record else { return };
        let home_record::HomeState::Running { attempts } = &mut record.state else {
            return;
        };
        let attempts = std::mem::take(attempts);
        let (outcome_for_waiting, reason) = finished_run::outcome_for_waiting(outcome);
        let stored_outcome =
            finished_run::outcome_to_store(&outcome_for_waiting, limit_bytes, record.fingerprint);
        record.state = home_record::HomeState::Settled(stored_outcome);
        let response_bytes = record.response_bytes();
        self.table.add_response_bytes(response_bytes);
        for attempt_id in attempts {
            self.attempts.remove(attempt_id);
            self.reply_settled(attempt_id, key, &outcome_for_waiting, reason);
        }
        self.hand_over_settled(key);
    }

    fn handle_cancelled(&mut self, attempt_id: u64) {
        let Some(key) = self.attempts.remove(attempt_id) else {
            return;
        };
        if self.detach_attempt(attempt_id, &key) {
            self.close_claiming_key(&key, verdict::RefusalReason::DeadlineExceeded);
        }
    }

    /// Removes an attempt from its key. Returns whether the claim of the key is
    /// pending and no attempt waits for it any more.
    pub(super) fn detach_attempt(&mut self, attempt_id: u64, key: &claims::ClaimKey) -> bool {
        let record = self.table.get_mut(key.prefix.home_epoch, key);
        match record.map(|record| &mut record.state) {
            Some(home_record::HomeState::Claiming { attempts, .. }) => {
                attempts.retain(|waiting| *waiting != attempt_id);
                attempts.is_empty()
            }
            Some(home_record::HomeState::Running { attempts }) => {
                attempts.retain(|waiting| *waiting != attempt_id);
                false
            }
            Some(home_record::HomeState::Settled(_)) | None => false,
        }
    }
}

impl fmt::Debug for Home {
    /// Formats the state without the settings.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Home")
            .field("attempts", &self.attempts)
            .field("epochs", &self.epochs)
            .field("leaving", &self.leaving)
            .field("now_ms", &self.now_ms)
            .field("table", &self.table)
            .finish_non_exhaustive()
    }
}

impl state_machine::StateMachine for Home {
    type Action = claims::HomeAction;
    type Event = claims::HomeEvent;

    fn handle(&mut self, now_ms: u64, event: claims::HomeEvent) -> Vec<claims::HomeAction> {
        self.now_ms = self.now_ms.max(now_ms);
        self.run_timers();
        match event {
            claims::HomeEvent::Cancelled { attempt_id } => self.handle_cancelled(attempt_id),
            claims::HomeEvent::Claimed { key, reply } => self.handle_claim_reply(&key, reply),
            claims::HomeEvent::Finished { key, outcome } => self.handle_finished(&key, outcome),
            claims::HomeEvent::Leave => self.handle_leave(),
            claims::HomeEvent::Refuse {
                attempt_id,
                key,
                refusal,
            } => self.handle_refuse(attempt_id, &key, refusal),
            claims::HomeEvent::Request {
                attempt_id,
                deadline_ms,
                fingerprint,
                key,
            } => {
                let attempt = incoming_attempt::IncomingAttempt {
                    id: attempt_id,
                    deadline_ms,
                    fingerprint,
                };
                self.handle_request(attempt, key);
            }
            claims::HomeEvent::Tick => {}
        }
        std::mem::take(&mut self.actions)
    }
}
