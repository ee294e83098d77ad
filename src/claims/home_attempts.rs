//! The waiting attempts and the timers of a home.

use std::collections;

use crate::claims;

/// Waiting attempts and timers of a home.
#[derive(Clone, Debug, Default)]
pub struct HomeAttempts {
    timers: collections::BTreeSet<(u64, Timer)>,
    waiting: indexmap::IndexMap<u64, WaitingAttempt>,
    claim_ids: indexmap::IndexMap<claims::ClaimKey, u64>,
    next_claim_id: u64,
    claim_keys: indexmap::IndexMap<u64, claims::ClaimKey>,
}

#[derive(Clone, Debug)]
struct WaitingAttempt {
    deadline_ms: u64,
    key: claims::ClaimKey,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Attempt(u64),
    Claim(u64),
}

/// Expired timer.
pub enum DueTimer {
    /// The deadline of this attempt has passed.
    Attempt(u64),
    /// The claim of this key timed out.
    Claim(claims::ClaimKey),
}

impl HomeAttempts {
    /// Adds a waiting attempt and starts its timer.
    pub fn add(&mut self, attempt_id: u64, deadline_ms: u64, key: &claims::ClaimKey) {
        self.timers
            .insert((deadline_ms, Timer::Attempt(attempt_id)));
        let key = key.clone();
        self.waiting
            .insert(attempt_id, WaitingAttempt { deadline_ms, key });
    }

    /// Returns whether the attempt is waiting.
    pub fn contains(&self, attempt_id: u64) -> bool {
        self.waiting.contains_key(&attempt_id)
    }

    /// Returns the number of waiting attempts.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when the next timer expires.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.timers.first().map(|(due_ms, _)| *due_ms)
    }

    /// Removes and returns an expired timer. Its attempt stays until
    /// [`Self::remove`] is called.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<DueTimer> {
        let (due_ms, timer) = *self.timers.first()?;
        if due_ms > now_ms {
            return None;
        }
        self.timers.pop_first();
        match timer {
            Timer::Attempt(attempt_id) => Some(DueTimer::Attempt(attempt_id)),
            Timer::Claim(claim_id) => {
                let key = self.claim_keys.swap_remove(&claim_id)?;
                self.claim_ids.swap_remove(&key);
                Some(DueTimer::Claim(key))
            }
        }
    }

    /// Removes an attempt and returns its key.
    pub fn remove(&mut self, attempt_id: u64) -> Option<claims::ClaimKey> {
        let waiting = self.waiting.swap_remove(&attempt_id)?;
        let timer = (waiting.deadline_ms, Timer::Attempt(attempt_id));
        self.timers.remove(&timer);
        Some(waiting.key)
    }

    /// Starts the timer of a claim.
    pub fn start_claim(&mut self, key: &claims::ClaimKey, due_ms: u64) {
        let claim_id = self.next_claim_id;
        self.next_claim_id += 1;
        self.timers.insert((due_ms, Timer::Claim(claim_id)));
        self.claim_keys.insert(claim_id, key.clone());
        self.claim_ids.insert(key.clone(), claim_id);
    }

    /// Stops the timer of a claim.
    pub fn stop_claim(&mut self, key: &claims::ClaimKey, due_ms: u64) {
        if let Some(claim_id) = self.claim_ids.swap_remove(key) {
            self.timers.remove(&(due_ms, Timer::Claim(claim_id)));
            self.claim_keys.swap_remove(&claim_id);
        }
    }
}
