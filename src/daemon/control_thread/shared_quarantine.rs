//! The quarantine, read by the traffic threads and fed by the control thread.

use std::sync;

use crate::configs;
use crate::health;
use crate::state_machine::StateMachine as _;

/// The quarantine, shared between the threads.
pub struct SharedQuarantine {
    quarantine: sync::Mutex<health::Quarantine>,
    retention_ms: u64,
}

impl SharedQuarantine {
    /// Gives a quarantine that suspects nothing.
    #[must_use]
    pub fn new(settings: &configs::DaemonConfig) -> Self {
        Self {
            quarantine: sync::Mutex::new(health::Quarantine::new(&settings.health)),
            retention_ms: settings.health.quarantine_retention_ms,
        }
    }

    /// Gives whether requests with this fingerprint are refused.
    #[must_use]
    pub fn contains(&self, fingerprint: u64, now_ms: u64) -> bool {
        self.lock().is_quarantined(now_ms, fingerprint)
    }

    /// Gives whether an answer to a request with this fingerprint is news.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.lock().is_suspect(fingerprint)
    }

    /// Gives when a refused caller should come back, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Feeds the quarantine and gives what it asks for.
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
