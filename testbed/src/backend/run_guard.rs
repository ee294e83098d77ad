//! Guard that records the end of a run, also if the run is cancelled.

use std::sync;

use crate::{backend, locking};

/// Run in progress. Dropping it before `finish` records the run as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    finished: bool,
    run_index: u64,
    run_count: u64,
    run_log: sync::Arc<sync::Mutex<backend::RunLog>>,
}

impl RunGuard {
    /// Records the start of a run.
    #[must_use]
    pub fn start(
        run_log: &sync::Arc<sync::Mutex<backend::RunLog>>,
        record: backend::RunRecord,
    ) -> Self {
        let (run_index, run_count) = locking::lock(run_log).start(record);
        Self {
            finished: false,
            run_index,
            run_count,
            run_log: sync::Arc::clone(run_log),
        }
    }

    /// Records the outcome of the run.
    pub fn finish(&mut self, outcome: backend::RunOutcome) {
        self.finished = true;
        locking::lock(&self.run_log).finish(self.run_index, outcome);
    }

    /// Returns the number of times that this server has run the request's key,
    /// this run included.
    #[must_use]
    pub const fn run_count(&self) -> u64 {
        self.run_count
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.finish(backend::RunOutcome::Cancelled);
        }
    }
}
