//! One log line for each decision, bounded in number.

use std::sync;
use std::time;

use crate::telemetry;

/// Lines that may be written in one second. A VM serves some tens of requests
/// a second, and each of them takes one to three decisions.
const LINES_PER_S: u32 = 120;

/// One log line for each decision that touches a request or changes what this
/// process believes. Beyond a number of lines in a second the rest is counted,
/// and the count is written with the first line of the next second.
#[derive(Default)]
pub struct Journal {
    state: sync::Mutex<JournalState>,
}

#[derive(Default)]
struct JournalState {
    left_out: u64,
    second: u64,
    started: Option<time::Instant>,
    written: u32,
}

impl Journal {
    /// Gives a journal with nothing in it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes a decision, unless too many were written in this second.
    pub fn decision(&self, name: &str, fields: impl FnOnce() -> String) {
        let Some(left_out) = self.admit() else {
            return;
        };
        if left_out > 0 {
            telemetry::Event::LinesLeftOut.info(&format!("name=log.left-out lines={left_out}"));
        }
        telemetry::Event::Decision.info(&format!("name={name} {}", fields()));
    }

    /// Gives the lines left out before this one, or nothing to leave it out.
    fn admit(&self) -> Option<u64> {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let started = *state.started.get_or_insert_with(time::Instant::now);
        let second = started.elapsed().as_secs();
        if state.second != second {
            state.second = second;
            state.written = 0;
        }
        if state.written >= LINES_PER_S {
            state.left_out += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}
