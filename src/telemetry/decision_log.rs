//! Rate-limited log of decisions.

use std::sync;
use std::time;

use crate::telemetry;

/// Maximum number of lines written in one second. A VM serves some tens of
/// requests a second, and each request leads to one to three decisions.
const LINES_PER_S: u32 = 120;

/// Writes one log line for each decision that affects a request or changes this
/// VM's view of the fleet. Beyond a maximum number of lines in a second,
/// further lines are suppressed; the next line that is written is preceded by
/// their number.
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
    /// Creates a log that has written no line.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs a decision, unless the maximum number of lines was already written
    /// in this second. `fields` is called only if the line is written.
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

    /// Reserves a line in the current second. Returns the number of lines
    /// suppressed before it, or `None` if this line must be suppressed.
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
