//! Quarantine shared by the traffic threads, which read it, and the control
//! thread, which updates it.

use std::sync;

use crate::configs;
use crate::health;
use crate::state_machine::StateMachine as _;

/// Quarantine of requests that crash servers, shared between threads.
pub struct SharedQuarantine {
    quarantine: sync::Mutex<health::Quarantine>,
    retention_ms: u64,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: &configs::DaemonConfig) -> Self {
        Self {
            quarantine: sync::Mutex::new(health::Quarantine::new(&settings.health)),
            retention_ms: settings.health.quarantine_retention_ms,
        }
    }

    /// Returns whether requests with this fingerprint are refused.
    #[must_use]
    pub fn contains(&self, fingerprint: u64, now_ms: u64) -> bool {
        self.lock().is_quarantined(now_ms, fingerprint)
    }

    /// Returns whether a request with this fingerprint is suspected of crashing
    /// a server. Responses must be reported to the quarantine only for such
    /// requests.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.lock().is_suspect(fingerprint)
    }

    /// Returns the time after which a refused caller should retry, in
    /// milliseconds.
    #[must_use]
    pub const fn retry_after_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Handles an event and returns the actions that the quarantine requests.
    pub fn handle(
        &self,
        now_ms: u64,
        event: health::QuarantineEvent,
    ) -> Vec<health::QuarantineAction> {
        self.lock().handle(now_ms, event)
    }

    fn lock(&self) -> sync::MutexGuard<'_, health::Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
