//! Schedule of the reads of the log.

use crate::config_fold::backoff;
use crate::configs;

/// Schedule of the reads of the log. At most one read is in flight.
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
    /// Creates a schedule whose first read may start immediately.
    pub const fn new(config: &configs::ReplicationConfig) -> Self {
        Self {
            backoff: backoff::Backoff::new(config.backoff_base_ms, config.log_backoff_limit_ms),
            first_offset: 0,
            not_before_ms: 0,
            poll_ms: config.log_poll_ms,
            sent_ms: None,
            timeout_ms: config.log_timeout_ms,
        }
    }

    /// Returns the highest first offset that the log has reported. Records before
    /// it have expired.
    pub const fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Starts a read if none is in flight and the wait is over. Returns whether it
    /// was started.
    pub fn start(&mut self, now_ms: u64) -> bool {
        let can_start = self.sent_ms.is_none() && now_ms >= self.not_before_ms;
        if can_start {
            self.sent_ms = Some(now_ms);
        }
        can_start
    }

    /// Records a response of the log, whose oldest kept record is at
    /// `first_offset`. If `has_more`, the next read may start immediately,
    /// otherwise after the poll interval.
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

    /// Records a failed read. The next read waits for the backoff.
    pub fn record_failure(&mut self, now_ms: u64, random: &mut rand::rngs::SmallRng) {
        self.sent_ms = None;
        self.not_before_ms = now_ms + self.backoff.next_ms(random);
    }

    /// Returns whether the read in flight has timed out.
    pub fn is_timed_out(&self, now_ms: u64) -> bool {
        self.sent_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + self.timeout_ms)
    }
}
