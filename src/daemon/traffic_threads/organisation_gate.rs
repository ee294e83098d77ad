//! Request limits of organisations on this entry VM.

use std::sync;

use crate::admission;
use crate::bundle;
use crate::configs;
use crate::context;
use crate::verdict;

/// Request limits of organisations on this entry VM, shared by the traffic
/// threads.
pub struct OrganisationGate {
    clock: sync::Arc<dyn context::Clock>,
    limiter: sync::Mutex<admission::OrganisationLimiter>,
}

/// Request admitted under its organisation's limit. Dropping it frees the
/// place.
pub struct OrganisationGuard {
    gate: sync::Arc<OrganisationGate>,
    organisation: String,
}

impl OrganisationGate {
    /// Creates a gate without admitted requests.
    #[must_use]
    pub fn new(configs: &configs::DaemonConfig, context: &context::Context) -> Self {
        let limiter = admission::OrganisationLimiter::new(&configs.admission, context.seed);
        Self {
            clock: sync::Arc::clone(&context.clock),
            limiter: sync::Mutex::new(limiter),
        }
    }

    /// Admits a request of the organisation.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the organisation has used up its limit.
    pub fn try_start(
        self: &sync::Arc<Self>,
        organisation: &str,
        limit: &bundle::OrganisationLimit,
    ) -> Result<OrganisationGuard, verdict::Refusal> {
        let now_ms = self.clock.now_ms();
        self.lock().try_start(now_ms, organisation, limit)?;
        Ok(OrganisationGuard {
            gate: sync::Arc::clone(self),
            organisation: organisation.to_owned(),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, admission::OrganisationLimiter> {
        self.limiter
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for OrganisationGuard {
    fn drop(&mut self) {
        self.gate.lock().finish(&self.organisation);
    }
}
