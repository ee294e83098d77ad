//! The home's epochs.

use std::collections;

use crate::configs::claims;

/// The home's epochs: which one is new_record out, which take new keys, which are
/// remembered.
///
/// `low_water <= accepting_from <= current + 1`. An epoch below
/// `accepting_from` takes no new key: a key of it that the home does not hold
/// is closed, at no cost in memory. An epoch below `low_water` is forgotten.
#[derive(Clone, Debug)]
pub struct EpochCounter {
    accepting_from: u64,
    closing: collections::VecDeque<EndedEpoch>,
    current: u64,
    evicting: collections::VecDeque<EndedEpoch>,
    low_water: u64,
    started_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct EndedEpoch {
    due_ms: u64,
    epoch: u64,
}

impl EpochCounter {
    /// Gives the counter of a home that has just started.
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

    /// Whether a key of this epoch that the home does not hold is closed.
    pub const fn is_closed(&self, epoch: u64) -> bool {
        epoch < self.accepting_from
    }

    /// Whether the home retains every key of this epoch.
    pub const fn retains(&self, epoch: u64) -> bool {
        epoch >= self.low_water && epoch <= self.current
    }

    /// The epoch to hand out.
    pub const fn current(&self) -> u64 {
        self.current
    }

    /// Notes that the current epoch holds a key.
    pub fn record_key(&mut self, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
    }

    /// Closes every epoch to new keys and starts another one.
    pub fn close_all(&mut self, config: &claims::ClaimsConfig, now_ms: u64) {
        self.start_next(config, now_ms);
        self.accepting_from = self.current;
    }

    /// Ends the current epoch if it holds keys and has lasted long enough,
    /// closes those whose prefixes have expired, and gives those to evict.
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
            "an epoch is closed before it is forgotten"
        );
        evicted
    }

    /// When [`Self::advance`] has something to do.
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
