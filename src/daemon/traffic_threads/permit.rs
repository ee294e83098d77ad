//! The right to run one request.

use std::sync;

use crate::daemon;

/// The right to run one request. Given back when dropped.
pub struct Permit {
    request_id: u64,
    runtime: sync::Arc<daemon::ServiceRuntime>,
}

impl Permit {
    /// Gives the permit that `runtime` hands out for a request.
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
