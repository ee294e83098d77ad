//! Environment of a process: clock and random seed.

use std::sync;

use rand::SeedableRng as _;

use crate::context;

/// Clock and random seed of a process, so that tests can replace them.
#[derive(Clone)]
pub struct Context {
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Seed of all random generators in the process.
    pub seed: u64,
}

impl Context {
    /// Creates a context with the operating system's clock and a random seed.
    #[must_use]
    pub fn system() -> Self {
        Self {
            clock: sync::Arc::new(context::SystemClock::new()),
            seed: rand::random(),
        }
    }

    /// Creates the random generator of the part of the process identified by
    /// `stream`.
    #[must_use]
    pub fn random(&self, stream: u64) -> rand::rngs::SmallRng {
        rand::rngs::SmallRng::seed_from_u64(self.seed ^ stream)
    }
}
