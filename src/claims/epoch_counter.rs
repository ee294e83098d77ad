//! The epochs of a home.

use std::collections;

use crate::configs::claims;

/// Epochs of a home: the one for new prefixes, those that accept new keys and
/// those whose keys are still stored.
///
/// `low_water <= accepting_from <= current + 1` always holds. Epochs below
/// `accepting_from` accept no new keys: a key of such an epoch that is not in
/// the table is closed, which takes no memory. Epochs below `low_water` are
/// evicted.
#[derive(Clone, Debug)]
pub struct EpochCounter {
    /// Oldest epoch that accepts new keys.
    accepting_from: u64,
    /// Ended epochs whose prefixes have not expired yet, oldest first.
    closing: collections::VecDeque<EndedEpoch>,
    current: u64,
    /// Ended epochs that are not evicted yet, oldest first.
    evicting: collections::VecDeque<EndedEpoch>,
    /// Oldest epoch that is not evicted.
    low_water: u64,
    /// When the current epoch got its first key; `None` without keys.
    started_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct EndedEpoch {
    due_ms: u64,
    epoch: u64,
}

impl EpochCounter {
    /// Creates the counter of a home that has just started.
    pub const fn new() -> Self {
        Self {
            accepting_from: 0,
            closing: collections::VecDeque::new(),
            current: 0,
            evicting: collections::VecDeque::new(),
            low_water: 0,
            started_ms: None,
        }
    }

    /// Returns whether a key of this epoch is closed if it is not in the table.
    pub const fn is_closed(&self, epoch: u64) -> bool {
        epoch < self.accepting_from
    }

    /// Returns whether the epoch has started and is not evicted yet.
    pub const fn retains(&self, epoch: u64) -> bool {
        epoch >= self.low_water && epoch <= self.current
    }

    /// Returns the epoch for new prefixes.
    pub const fn current(&self) -> u64 {
        self.current
    }

    /// Records that the current epoch has a key.
    pub fn record_key(&mut self, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
    }

    /// Starts a new epoch and closes all earlier ones to new keys.
    pub fn close_all(&mut self, config: &claims::ClaimsConfig, now_ms: u64) {
        self.start_next(config, now_ms);
        self.accepting_from = self.current;
    }

    /// Ends the current epoch if it has keys and its time is over, closes the
    /// epochs whose prefixes have expired, and returns the epochs to evict.
    pub fn advance(&mut self, config: &claims::ClaimsConfig, now_ms: u64) -> Vec<u64> {
        if self
            .rotation_due_ms(config)
            .is_some_and(|due_ms| due_ms <= now_ms)
        {
            self.start_next(config, now_ms);
        }
        while let Some(closed) = pop_due(&mut self.closing, now_ms) {
            self.accepting_from = self.accepting_from.max(closed + 1);
        }
        let mut evicted = Vec::new();
        while let Some(epoch) = pop_due(&mut self.evicting, now_ms) {
            evicted.push(epoch);
            self.low_water = epoch + 1;
        }
        assert!(
            self.low_water <= self.accepting_from && self.accepting_from <= self.current + 1,
            "an epoch was evicted before it was closed"
        );
        evicted
    }

    /// Returns when [`Self::advance`] must be called next; `None` if no epoch
    /// has keys.
    pub fn next_wakeup_ms(&self, config: &claims::ClaimsConfig) -> Option<u64> {
        let closing = self.closing.front().map(|ended| ended.due_ms);
        let evicting = self.evicting.front().map(|ended| ended.due_ms);
        [self.rotation_due_ms(config), closing, evicting]
            .into_iter()
            .flatten()
            .min()
    }

    fn rotation_due_ms(&self, config: &claims::ClaimsConfig) -> Option<u64> {
        self.started_ms
            .map(|started_ms| started_ms.saturating_add(config.epoch_ms))
    }

    fn start_next(&mut self, config: &claims::ClaimsConfig, now_ms: u64) {
        let epoch = self.current;
        self.current += 1;
        if self.started_ms.take().is_none() {
            return;
        }
        let closes_ms = now_ms.saturating_add(config.prefix_lifetime_ms);
        let evicts_ms = closes_ms.saturating_add(config.retention_ms);
        self.closing.push_back(EndedEpoch {
            due_ms: closes_ms,
            epoch,
        });
        self.evicting.push_back(EndedEpoch {
            due_ms: evicts_ms,
            epoch,
        });
    }
}

fn pop_due(ended: &mut collections::VecDeque<EndedEpoch>, now_ms: u64) -> Option<u64> {
    let due = ended.front()?.due_ms <= now_ms;
    due.then(|| ended.pop_front())?.map(|ended| ended.epoch)
}
