//! Timer of a state machine.

/// Timer of a state machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wakeup {
    scheduled_ms: u64,
}

impl Wakeup {
    /// Schedules a wakeup after `now_ms`. Returns `true` if the caller must add an
    /// event for it, and `false` if one is scheduled no later than `wakeup_ms`.
    pub fn schedule(&mut self, now_ms: u64, wakeup_ms: u64) -> bool {
        let is_set = self.scheduled_ms > now_ms && self.scheduled_ms <= wakeup_ms;
        if !is_set {
            self.scheduled_ms = wakeup_ms;
        }
        !is_set
    }
}
