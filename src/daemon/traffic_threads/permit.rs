//! Permit to run a request on a service.

use std::sync;

use crate::daemon;

/// Permit to run a request. It is returned to the service when dropped.
pub struct Permit {
    request_id: u64,
    runtime: sync::Arc<daemon::ServiceRuntime>,
}

impl Permit {
    /// Creates the permit of a request that `runtime` admits or has queued.
    #[must_use]
    pub const fn new(request_id: u64, runtime: sync::Arc<daemon::ServiceRuntime>) -> Self {
        Self {
            request_id,
            runtime,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.runtime.release_permit(self.request_id);
    }
}
