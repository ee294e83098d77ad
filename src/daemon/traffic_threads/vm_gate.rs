//! Limits that apply to this entry VM across all services.

use std::sync;

use crate::admission;
use crate::balancing;
use crate::bundle;
use crate::configs;
use crate::context;
use crate::verdict;

/// Minimum delay before a retry when the VM's capacity is used up, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Capacity of this entry VM and budget of traffic to other regions, shared by
/// the traffic threads.
pub struct VmGate {
    clock: sync::Arc<dyn context::Clock>,
    priority_gate: sync::Mutex<admission::PriorityGate>,
    spill_budget: sync::Mutex<balancing::SpillBudget>,
}

/// Capacity held by one request. It is freed when dropped.
pub struct VmGuard {
    bytes: u64,
    gate: sync::Arc<VmGate>,
}

impl VmGate {
    /// Creates a gate without requests in flight.
    #[must_use]
    pub fn new(configs: &configs::DaemonConfig, context: &context::Context) -> Self {
        Self {
            clock: sync::Arc::clone(&context.clock),
            priority_gate: sync::Mutex::new(admission::PriorityGate::new(&configs.admission)),
            spill_budget: sync::Mutex::new(balancing::SpillBudget::new(&configs.balancing)),
        }
    }

    /// Reserves capacity for a request that holds `bytes` of this VM's memory.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the capacity for the request's priority is used
    /// up. Part of the capacity is reserved for requests of higher priority,
    /// such as orders.
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

    /// Returns whether a request may currently be sent to another region.
    pub fn may_spill(&self, priority: bundle::Priority) -> bool {
        lock(&self.spill_budget).may_spill(self.clock.now_ms(), priority)
    }

    /// Counts a request sent to another region, and its bytes.
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
