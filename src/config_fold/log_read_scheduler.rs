//! When to read the log next.

use crate::config_fold::backoff;
use crate::configs;

/// When to read the log next.
#[derive(Clone, Debug)]
pub struct LogReadScheduler {
    backoff: backoff::Backoff,
    first_offset: u64,
    not_before_ms: u64,
    poll_ms: u64,
    sent_ms: Option<u64>,
    timeout_ms: u64,
}

impl LogReadScheduler {
    /// Gives a reader that may read at once.
    pub const fn new(config: &configs::SpreadConfig) -> Self {
        Self {
            backoff: backoff::Backoff::new(config.backoff_base_ms, config.log_backoff_limit_ms),
            first_offset: 0,
            not_before_ms: 0,
            poll_ms: config.log_poll_ms,
            sent_ms: None,
            timeout_ms: config.log_timeout_ms,
        }
    }

    /// Gives where the log is known to begin.
    pub const fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Starts a read if none is under way and its time has come.
    pub fn start(&mut self, now_ms: u64) -> bool {
        let can_start = self.sent_ms.is_none() && now_ms >= self.not_before_ms;
        if can_start {
            self.sent_ms = Some(now_ms);
        }
        can_start
    }

    /// Notes an answer; `has_more` if there is more to read at once.
    pub fn record_response(&mut self, now_ms: u64, first_offset: u64, has_more: bool) {
        self.sent_ms = None;
        self.backoff.reset();
        self.first_offset = self.first_offset.max(first_offset);
        self.not_before_ms = if has_more {
            now_ms
        } else {
            now_ms + self.poll_ms
        };
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now_ms: u64, random: &mut rand::rngs::SmallRng) {
        self.sent_ms = None;
        self.not_before_ms = now_ms + self.backoff.next_ms(random);
    }

    /// Tells whether a read has been under way for too long.
    pub fn is_timed_out(&self, now_ms: u64) -> bool {
        self.sent_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + self.timeout_ms)
    }
}
