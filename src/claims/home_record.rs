//! What the home knows of a key.

use crate::claims;

/// What the home knows of a key.
#[derive(Clone, Debug)]
pub struct HomeRecord {
    /// Fingerprint of the first request; none if it was closed before one.
    pub fingerprint: Option<u64>,
    /// Times that the key was run: never more than one.
    pub run_count: u32,
    /// How far the key has come.
    pub state: HomeState,
}

/// How far a key has come. Only a claiming key may start to run.
#[derive(Clone, Debug)]
pub enum HomeState {
    /// The witness has been asked.
    Claiming {
        /// The attempts that wait, the first to be run first.
        attempts: Vec<u64>,
        /// When the claim is given up.
        due_ms: u64,
    },
    /// It runs.
    Running {
        /// The attempts that wait for its answer.
        attempts: Vec<u64>,
    },
    /// It has ended.
    Settled(claims::KeyOutcome),
}

impl HomeRecord {
    /// Bytes of the kept answer.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            HomeState::Settled(settled) => settled.answer_bytes(),
            HomeState::Claiming { .. } | HomeState::Running { .. } => 0,
        }
    }

    /// Whether the key runs, ran or may have run.
    pub const fn may_have_run(&self) -> bool {
        matches!(
            self.state,
            HomeState::Running { .. }
                | HomeState::Settled(
                    claims::KeyOutcome::Answered(_) | claims::KeyOutcome::MayHaveRun
                )
        )
    }

    /// Whether `fingerprint` is of another request than the first one.
    pub fn is_different_request(&self, fingerprint: u64) -> bool {
        self.fingerprint.is_some_and(|first| first != fingerprint)
    }
}
