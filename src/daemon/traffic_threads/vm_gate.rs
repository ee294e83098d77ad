//! Limits of this entry VM as a whole: its own room, and bytes to other
//! regions.

use std::sync;

use crate::admission;
use crate::balancing;
use crate::bundle;
use crate::configs;
use crate::context;
use crate::verdict;

/// When to come back to a VM whose room is used up, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Limits of this entry VM as a whole, shared by the traffic threads.
pub struct VmGate {
    clock: sync::Arc<dyn context::Clock>,
    priority_gate: sync::Mutex<admission::PriorityGate>,
    spill_budget: sync::Mutex<balancing::SpillBudget>,
}

/// The room that one request takes. Given back when dropped.
pub struct VmGuard {
    bytes: u64,
    gate: sync::Arc<VmGate>,
}

impl VmGate {
    /// Gives a gate with nothing in flight.
    #[must_use]
    pub fn new(configs: &configs::DaemonConfig, context: &context::Context) -> Self {
        Self {
            clock: sync::Arc::clone(&context.clock),
            priority_gate: sync::Mutex::new(admission::PriorityGate::new(&configs.admission)),
            spill_budget: sync::Mutex::new(balancing::SpillBudget::new(&configs.balancing)),
        }
    }

    /// Takes room for a request that holds `bytes` of this VM's memory.
    ///
    /// # Errors
    ///
    /// Gives the refusal when the room for its priority is used up: orders go
    /// before other work.
    pub fn try_start(
        self: &sync::Arc<Self>,
        priority: bundle::Priority,
        bytes: u64,
    ) -> Result<VmGuard, verdict::Refusal> {
        lock(&self.priority_gate).try_start(priority, bytes, RETRY_AFTER_MS)?;
        Ok(VmGuard {
            bytes,
            gate: sync::Arc::clone(self),
        })
    }

    /// Gives whether a request may go to another region now.
    pub fn may_spill(&self, priority: bundle::Priority) -> bool {
        lock(&self.spill_budget).may_spill(self.clock.now_ms(), priority)
    }

    /// Counts a request that went to another region, and its bytes.
    pub fn record_spill(&self, bytes: u64) {
        let mut spill_budget = lock(&self.spill_budget);
        spill_budget.record_request();
        spill_budget.record_bytes(self.clock.now_ms(), bytes);
    }
}

impl Drop for VmGuard {
    fn drop(&mut self) {
        lock(&self.gate.priority_gate).finish(self.bytes);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
