//! The record of a key at its home.

use crate::claims;

/// Record of a key at its home.
#[derive(Clone, Debug)]
pub struct HomeRecord {
    /// Fingerprint of the first request; `None` if the key was closed without a
    /// claim.
    pub fingerprint: Option<u64>,
    /// Number of runs, at most one.
    pub run_count: u32,
    /// State of the key.
    pub state: HomeState,
}

/// State of a key at its home. Only a key in state `Claiming` may start to run.
#[derive(Clone, Debug)]
pub enum HomeState {
    /// The claim was sent to the witness, which has not replied yet.
    Claiming {
        /// Waiting attempts. The first one will be run.
        attempts: Vec<u64>,
        /// When the claim times out.
        due_ms: u64,
    },
    /// The key is running.
    Running {
        /// Attempts that wait for the response.
        attempts: Vec<u64>,
    },
    /// The outcome is final.
    Settled(claims::KeyOutcome),
}

impl HomeRecord {
    /// Returns the memory of the stored response, 0 without one.
    pub fn response_bytes(&self) -> usize {
        match &self.state {
            HomeState::Settled(settled) => settled.response_bytes(),
            HomeState::Claiming { .. } | HomeState::Running { .. } => 0,
        }
    }

    /// Returns whether the key is running, ran or may have run.
    pub const fn may_have_run(&self) -> bool {
        matches!(
            self.state,
            HomeState::Running { .. }
                | HomeState::Settled(
                    claims::KeyOutcome::Answered(_) | claims::KeyOutcome::MayHaveRun
                )
        )
    }

    /// Returns whether `fingerprint` differs from that of the first request.
    pub fn is_different_request(&self, fingerprint: u64) -> bool {
        self.fingerprint.is_some_and(|first| first != fingerprint)
    }
}
