//! Schedule of the summaries that a detector sends.

use crate::configs;

/// Schedule of the summaries that a detector sends to the other entry VMs: at
/// the quiet interval, and earlier when a summary is urgent, but at most once
/// per alert interval.
pub(super) struct SummarySchedule {
    alert_interval_ms: u64,
    is_urgent: bool,
    quiet_interval_ms: u64,
    quiet_sent_ms: u64,
    sent_ms: Option<u64>,
}

/// Servers that a summary covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SummaryScope {
    /// Every server that has changed since the last summary.
    All,
    /// Suspected servers that have changed since the last summary.
    Suspected,
}

impl SummarySchedule {
    pub(super) fn new(config: &configs::health::HealthConfig) -> Self {
        Self {
            alert_interval_ms: config.alert_summary_interval_ms,
            is_urgent: false,
            quiet_interval_ms: config.quiet_summary_interval_ms,
            quiet_sent_ms: 0,
            sent_ms: None,
        }
    }

    pub(super) fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Returns the scope of the summary that is due and records it as sent.
    /// Returns `None` if no summary is due.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Option<SummaryScope> {
        if now_ms >= self.quiet_due_ms() {
            self.quiet_sent_ms = now_ms;
            self.record_sent(now_ms);
            return Some(SummaryScope::All);
        }
        if self.is_urgent && now_ms >= self.alert_due_ms() {
            self.record_sent(now_ms);
            return Some(SummaryScope::Suspected);
        }
        None
    }

    pub(super) fn next_due_ms(&self) -> u64 {
        if self.is_urgent {
            self.quiet_due_ms().min(self.alert_due_ms())
        } else {
            self.quiet_due_ms()
        }
    }

    fn record_sent(&mut self, now_ms: u64) {
        self.is_urgent = false;
        self.sent_ms = Some(now_ms);
    }

    fn quiet_due_ms(&self) -> u64 {
        self.quiet_sent_ms.saturating_add(self.quiet_interval_ms)
    }

    fn alert_due_ms(&self) -> u64 {
        self.sent_ms
            .map_or(0, |sent_ms| sent_ms.saturating_add(self.alert_interval_ms))
    }
}
