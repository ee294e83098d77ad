//! One log line for each decision, bounded in number.

use std::sync;
use std::time;

use crate::telemetry;

/// Lines that may be written_count in one second. A VM serves some tens of requests
/// a second, and each of them takes one to three decisions.
const LINES_PER_S: u32 = 120;

/// One log line for each decision that touches a request or changes what this
/// process believes. Beyond a number of lines in a second the rest is counted,
/// and the count is written_count with the first line of the next second.
#[derive(Default)]
pub struct DecisionLog {
    state: sync::Mutex<DecisionLogState>,
}

#[derive(Default)]
struct DecisionLogState {
    suppressed_count: u64,
    second: u64,
    started: Option<time::Instant>,
    written_count: u32,
}

impl DecisionLog {
    /// Gives a decision_log with nothing in it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes a decision, unless too many were written_count in this second.
    pub fn record(&self, name: &str, fields: impl FnOnce() -> String) {
        let Some(suppressed_count) = self.reserve_line() else {
            return;
        };
        if suppressed_count > 0 {
            telemetry::Event::LinesLeftOut
                .info(&format!("name=log.left-out lines={suppressed_count}"));
        }
        telemetry::Event::Decision.info(&format!("name={name} {}", fields()));
    }

    /// Gives the lines left out before this one, or nothing to leave it out.
    fn reserve_line(&self) -> Option<u64> {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let started = *state.started.get_or_insert_with(time::Instant::now);
        let second = started.elapsed().as_secs();
        if state.second != second {
            state.second = second;
            state.written_count = 0;
        }
        if state.written_count >= LINES_PER_S {
            state.suppressed_count += 1;
            return None;
        }
        state.written_count += 1;
        Some(std::mem::take(&mut state.suppressed_count))
    }
}
