//! VM list with delayed changes.

use std::collections;

use crate::platform;

/// VM list. Each change is visible only after a delay.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    lag_ms: u64,
    pending: collections::VecDeque<(u64, platform::VmChange)>,
    vms: indexmap::IndexMap<String, platform::Vm>,
}

impl VmList {
    /// Creates an empty list whose changes are visible after `lag_ms`
    /// milliseconds.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            ..Self::default()
        }
    }

    /// Adds a change that happens at `now_ms`.
    pub fn change(&mut self, now_ms: u64, change: platform::VmChange) {
        self.pending
            .push_back((now_ms.saturating_add(self.lag_ms), change));
    }

    /// Returns the list as visible at `now_ms`.
    pub fn visible(&mut self, now_ms: u64) -> Vec<platform::Vm> {
        while let Some((_, change)) = self.pending.pop_front_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.apply(change);
        }
        self.vms.values().cloned().collect()
    }

    fn apply(&mut self, change: platform::VmChange) {
        match change {
            platform::VmChange::Leaving { id } => {
                if let Some(vm) = self.vms.get_mut(&id) {
                    vm.leaving = true;
                }
            }
            platform::VmChange::Put(vm) => {
                self.vms.insert(vm.id.clone(), vm);
            }
            platform::VmChange::Removed { id } => {
                self.vms.shift_remove(&id);
            }
        }
    }
}
